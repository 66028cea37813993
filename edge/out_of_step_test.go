package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// storePath is one instance's path to the metadata store.
type storePath struct {
	url string
	// mode is a storePathMode.
	mode atomic.Int32
}

type storePathMode int32

const (
	// storeAnswers passes all calls on.
	storeAnswers storePathMode = iota
	// storeHangs leaves all calls without an answer, also those that wait already.
	storeHangs
	// storeHidesServers does so with the calls for servers only.
	storeHidesServers
	// storeTurnsAway answers all calls with 503.
	storeTurnsAway
)

func (p *storePath) set(mode storePathMode) { p.mode.Store(int32(mode)) }

// hangs reports whether a call is left without an answer.
func (p *storePath) hangs(r *http.Request) bool {
	mode := storePathMode(p.mode.Load())
	return mode == storeHangs || mode == storeHidesServers && strings.HasSuffix(r.URL.Path, "/servers")
}

func newStorePath(t *testing.T, store *platformtest.Store) *storePath {
	t.Helper()
	target, err := url.Parse(store.URL)
	if err != nil {
		t.Fatal(err)
	}
	p := &storePath{}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if storePathMode(p.mode.Load()) == storeTurnsAway {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response := httptest.NewRecorder()
		if !p.hangs(r) {
			proxy.ServeHTTP(response, r)
		}
		if p.hangs(r) {
			select {
			case <-r.Context().Done():
			case <-ended:
			}
			panic(http.ErrAbortHandler)
		}
		for name, values := range response.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	p.url = server.URL
	return p
}

// TestInstanceOutOfStepJoinsStreamsOfNewVersion guards against an instance that knows only the
// old version of a release, since it was cut off or stood still, and has streams go on there that
// began at the new one through another instance.
func TestInstanceOutOfStepJoinsStreamsOfNewVersion(t *testing.T) {
	for name, after := range map[string]storePathMode{
		"the store answers again": storeAnswers, "its servers are not told": storeHidesServers,
		"the store is away": storeHangs, "the store turns it away": storeTurnsAway,
	} {
		t.Run(name, func(t *testing.T) {
			f := &versionFleet{t: t, store: platformtest.NewStore()}
			t.Cleanup(f.store.Close)
			f.store.Put("config", "main", configurationText(1))
			f.join("i-0", "v1")
			path := newStorePath(t, f.store)
			// The instances have no seed in common, so no datagram passes between them.
			behind := startInstance(t, "127.0.0.4", freePort(t, "127.0.0.4"), path.url, 1)
			inStep := startInstance(t, "127.0.0.5", freePort(t, "127.0.0.5"), f.store.URL, 1)
			await(t, "ready", func() bool { return behind.isReady() && inStep.isReady() })
			f.expectNotJoined(f.takeUpOne(behind, f.breakOffOne("before", behind)))

			path.set(storeHangs)
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

			path.set(after)
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
