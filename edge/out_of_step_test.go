package edge

import (
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestInstanceOutOfStepJoinsStreamsOfNewVersion guards against an instance that knows only the
// old version of a release, since it was cut off or stood still, and has streams go on there that
// began at the new one through another instance.
func TestInstanceOutOfStepJoinsStreamsOfNewVersion(t *testing.T) {
	for name, after := range map[string]platformtest.PathMode{
		"the store answers again": platformtest.PathOpen, "its servers are not told": platformtest.PathHidesServers,
		"the store is away": platformtest.PathHangs, "the store turns it away": platformtest.PathTurnsAway,
	} {
		t.Run(name, func(t *testing.T) {
			f := &versionFleet{t: t, store: platformtest.NewStore()}
			t.Cleanup(f.store.Close)
			f.store.Put("config", "main", configurationText(1))
			f.join("i-0", "v1")
			path := f.store.NewPath()
			t.Cleanup(path.Close)
			// The instances have no seed in common, so no datagram passes between them.
			behind := startInstance(t, "127.0.0.4", freePort(t, "127.0.0.4"), path.URL, 1)
			inStep := startInstance(t, "127.0.0.5", freePort(t, "127.0.0.5"), f.store.URL, 1)
			await(t, "ready", func() bool { return behind.isReady() && inStep.isReady() })
			f.expectNotJoined(f.takeUpOne(behind, f.breakOffOne("before", behind)))

			path.Set(platformtest.PathHangs)
			f.join("i-1", "v2")
			f.leave("i-0")
			await(t, "streams begin at the new version", func() bool {
				s := f.breakOffOne(fmt.Sprint("probe-", time.Now().UnixNano()), inStep)
				return s.version == "v2"
			})
			f.join("i-2", "v1")
			f.instances = []*testInstance{inStep}
			streams := f.breakOff(takenUpStreams)
			if _, known := behind.catalog.Snapshot().Servers["i-1"]; known {
				t.Fatal("the instance that is cut off knows the new server")
			}

			path.Set(after)
			f.instances = []*testInstance{behind}
			if got := f.takeUp(streams); got.joined > 0 {
				t.Errorf("%d of %d streams are joined from two versions, want none", got.joined, len(streams))
			}
		})
	}
}

// join starts a server of a version and registers it.
func (f *versionFleet) join(id, version string) {
	s := platformtest.NewBackendServer(id, "s")
	f.t.Cleanup(s.Close)
	s.Version = version
	s.SetBehaviour(platformtest.Behaviour{Events: 12, EventPause: 20 * time.Millisecond})
	f.store.Put("servers", s.ID, s.Entry("ready"))
	f.servers = append(f.servers, s)
}

// leave has a server announce that it leaves. It goes on serving.
func (f *versionFleet) leave(id string) {
	for _, s := range f.servers {
		if s.ID == id {
			f.store.Put("servers", id, s.Entry("draining"))
		}
	}
}
