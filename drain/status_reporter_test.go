package drain

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/objects/objectstest"
	"bergamotpin.example/bergamotpin/peer/memnet"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// testFleet is a set of instances. Its first instance has the duty to report.
type testFleet struct {
	t         *testing.T
	platform  *platform.Server
	client    *objects.Client
	network   *memnet.Network
	instances []*testInstance
	reporters sync.WaitGroup
}

type testInstance struct {
	address  netip.AddrPort
	endpoint *memnet.Endpoint
	store    *config.Store
	inFlight atomic.Int64
	reporter *StatusReporter
	stop     context.CancelFunc
	unlisted atomic.Bool // whether the other instances' Options.Peers leave this instance out
}

func runFleet(t *testing.T, size int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, platform: platform.New(platform.Options{}), network: memnet.New(1)}
		transport := &objectstest.Transport{Handler: f.platform}
		f.client = objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})
		for i := range size {
			f.instances = append(f.instances, f.newInstance(i))
		}
		for _, in := range f.instances {
			ctx, stop := context.WithCancel(t.Context())
			in.stop = stop
			f.reporters.Go(func() { in.reporter.Run(ctx) })
		}
		test(t, f)
		for _, in := range f.instances {
			in.stop()
			in.endpoint.Close()
		}
		f.reporters.Wait()
		f.platform.Close()
	})
}

func (f *testFleet) newInstance(i int) *testInstance {
	in := &testInstance{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)}
	in.endpoint = f.network.Listen(in.address)
	in.store = config.NewStore()
	in.reporter = NewStatusReporter(Options{
		Transport:    in.endpoint,
		Local:        NewLocalCount(in.store.Snapshot, func(string) int { return int(in.inFlight.Load()) }),
		Peers:        func() []netip.AddrPort { return f.others(in) },
		Snapshot:     in.store.Snapshot,
		Status:       f.client,
		ShouldReport: func() bool { return i == 0 },
	})
	return in
}

func (f *testFleet) others(self *testInstance) []netip.AddrPort {
	var out []netip.AddrPort
	for _, in := range f.instances {
		if in != self && !in.unlisted.Load() {
			out = append(out, in.address)
		}
	}
	return out
}

// setDrain sets or clears Drain in the platform's object and in the
// configuration of the given instances.
func (f *testFleet) setDrain(on bool, at ...*testInstance) {
	f.t.Helper()
	obj, err := config.Edit(f.t.Context(), f.client, api.KindBackendServer, "s", func(s api.BackendServerSpec) (api.BackendServerSpec, error) {
		return api.BackendServerSpec{Address: "10.9.0.1:80", DataCentre: "a", Models: []string{"m"}, Slots: 1, Drain: on}, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
	for _, in := range at {
		in.store.Apply(api.WatchEvent{Type: api.EventPut, Object: obj})
	}
}

// expectStatus checks the Drained condition and the number of requests in flight
// in the server's status at the platform.
func (f *testFleet) expectStatus(drained bool, reason string, inFlight int) {
	f.t.Helper()
	obj, err := f.client.Get(f.t.Context(), api.KindBackendServer, "s")
	if err != nil {
		f.t.Fatal(err)
	}
	var s api.Status
	if err := json.Unmarshal(obj.Status, &s); err != nil {
		f.t.Fatal(err)
	}
	c, _ := objects.FindCondition(s, api.ConditionDrained)
	if c.Status != drained || c.Reason != reason || s.InFlight != inFlight {
		f.t.Errorf("status %v, %s, %d in flight (%s); want %v, %s, %d in flight", c.Status, c.Reason, s.InFlight, c.Message, drained, reason, inFlight)
	}
}

// TestServerIsEmptyWhenNoInstanceHasRequests checks that the status follows the
// sum of all instances' counts until the server is empty, and that the reporter
// makes no call to the platform after that.
func TestServerIsEmptyWhenNoInstanceHasRequests(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, f *testFleet) {
		f.instances[1].inFlight.Store(2)
		f.instances[4].inFlight.Store(3)
		f.setDrain(true, f.instances...)
		time.Sleep(2 * CountInterval)
		f.expectStatus(false, ReasonInFlight, 5)
		f.instances[1].inFlight.Store(0)
		f.instances[4].inFlight.Store(1)
		time.Sleep(WriteInterval + CountInterval)
		f.expectStatus(false, ReasonInFlight, 1)
		f.instances[4].inFlight.Store(0)
		time.Sleep(2 * CountInterval)
		f.expectStatus(true, ReasonEmpty, 0)
		before := f.platform.Counters()
		time.Sleep(time.Minute)
		if after := f.platform.Counters(); after.Writes != before.Writes || after.Reads != before.Reads {
			t.Errorf("the platform counted %+v when the server was empty and %+v a minute later; want the same numbers of reads and writes", before, after)
		}
		f.setDrain(false, f.instances...)
		time.Sleep(2 * CountInterval)
		f.expectStatus(false, ReasonNotDraining, 0)
	})
}

// TestServerIsNotEmptyBeforeDrainIsInForceEverywhere sets the drain in force at
// all instances except one. That instance may still send requests, so the
// server must not be reported as empty.
func TestServerIsNotEmptyBeforeDrainIsInForceEverywhere(t *testing.T) {
	runFleet(t, 3, func(_ *testing.T, f *testFleet) {
		f.setDrain(true, f.instances[:2]...)
		time.Sleep(2 * CountInterval)
		f.expectStatus(false, ReasonNotInForce, 0)
	})
}

// TestIsolatedInstanceBlocksEmptyUntilTimeout cuts off an instance that may still
// run requests. The server must not be reported as empty before VanishedTimeout
// has passed.
func TestIsolatedInstanceBlocksEmptyUntilTimeout(t *testing.T) {
	runFleet(t, 3, func(_ *testing.T, f *testFleet) {
		isolated := f.instances[2]
		isolated.inFlight.Store(1)
		time.Sleep(time.Minute)
		f.network.Isolate(isolated.address)
		isolated.unlisted.Store(true)
		f.setDrain(true, f.instances...)
		time.Sleep(time.Minute)
		f.expectStatus(false, ReasonUnreachable, 0)
		time.Sleep(DefaultVanishedTimeout + WriteInterval)
		f.expectStatus(true, ReasonEmpty, 0)
	})
}

// TestInstanceThatLeftIsNotCounted checks that a server is reported as empty
// although an instance that announced that it was leaving no longer responds.
func TestInstanceThatLeftIsNotCounted(t *testing.T) {
	runFleet(t, 3, func(_ *testing.T, f *testFleet) {
		time.Sleep(time.Minute)
		left := f.instances[2]
		f.network.Isolate(left.address)
		left.unlisted.Store(true)
		f.instances[0].reporter.InstanceLeft(left.address)
		f.setDrain(true, f.instances...)
		time.Sleep(10 * CountInterval)
		f.expectStatus(true, ReasonEmpty, 0)
	})
}

// TestPlatformOutageOnlyDelaysTheReport checks that a server that becomes empty
// while the platform refuses all calls is reported as empty after the outage.
func TestPlatformOutageOnlyDelaysTheReport(t *testing.T) {
	runFleet(t, 3, func(_ *testing.T, f *testFleet) {
		f.instances[1].inFlight.Store(1)
		f.setDrain(true, f.instances...)
		f.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		time.Sleep(time.Hour)
		f.instances[1].inFlight.Store(0)
		time.Sleep(time.Minute)
		f.platform.SetFaults(platform.Faults{})
		time.Sleep(2 * CountInterval)
		f.expectStatus(true, ReasonEmpty, 0)
	})
}

// TestStaleReadDoesNotHideAnEmptyServer drains an idle server while reads from
// the platform return an old state. The reporter must retry the write of the
// status until a read returns the current state.
func TestStaleReadDoesNotHideAnEmptyServer(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *testFleet) {
		f.setDrain(false)
		time.Sleep(time.Minute)
		f.platform.SetFaults(platform.Faults{StaleReads: api.Duration(2 * time.Second)})
		f.setDrain(true, f.instances...)
		time.Sleep(10 * time.Second)
		f.platform.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		f.expectStatus(true, ReasonEmpty, 0)
	})
}

// TestEmptyServerStaysEmpty lets an instance count two requests after the server
// was reported as empty. The drain keeps such requests from being sent, so the
// status must not change. This holds also while reads from the platform return
// an old state.
func TestEmptyServerStaysEmpty(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *testFleet) {
		f.setDrain(true, f.instances...)
		time.Sleep(2 * CountInterval)
		f.expectStatus(true, ReasonEmpty, 0)
		f.platform.SetFaults(platform.Faults{StaleReads: api.Duration(CountInterval + CountInterval/2)})
		f.instances[1].inFlight.Store(2)
		time.Sleep(CountInterval)
		f.instances[1].inFlight.Store(0)
		time.Sleep(10 * time.Second)
		f.platform.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		f.expectStatus(true, ReasonEmpty, 0)
	})
}

// TestReadFromBeforeCreationDoesNotHideAnEmptyServer drains a server while reads
// from the platform return the state from before the server's creation. The
// reporter must retry the write of the status until a read finds the server.
func TestReadFromBeforeCreationDoesNotHideAnEmptyServer(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *testFleet) {
		f.setDrain(true, f.instances...)
		f.platform.SetFaults(platform.Faults{StaleReads: api.Duration(5 * time.Second)})
		time.Sleep(3 * time.Second)
		f.platform.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		f.expectStatus(true, ReasonEmpty, 0)
	})
}
