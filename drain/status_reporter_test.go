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

// group is a set of instances, the first of which reports.
type group struct {
	t         *testing.T
	platform  *platform.Server
	client    *objects.Client
	network   *memnet.Network
	instances []*instance
	running   sync.WaitGroup
}

type instance struct {
	address  netip.AddrPort
	end      *memnet.Endpoint
	store    *config.Store
	inFlight atomic.Int64
	reporter *Reporter
	stop     context.CancelFunc
	gone     atomic.Bool
}

func runGroup(t *testing.T, size int, test func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{t: t, platform: platform.New(platform.Options{}), network: memnet.New(1)}
		transport := &objectstest.Transport{Handler: g.platform}
		g.client = objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})
		for i := range size {
			g.instances = append(g.instances, g.newInstance(i))
		}
		for _, in := range g.instances {
			ctx, stop := context.WithCancel(t.Context())
			in.stop = stop
			g.running.Go(func() { in.reporter.Run(ctx) })
		}
		test(t, g)
		for _, in := range g.instances {
			in.stop()
			in.end.Close()
		}
		g.running.Wait()
		g.platform.Close()
	})
}

func (g *group) newInstance(i int) *instance {
	in := &instance{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)}
	in.end = g.network.Listen(in.address)
	in.store = config.NewStore()
	in.reporter = NewReporter(Options{
		Transport:    in.end,
		Local:        NewLocalCount(in.store.Snapshot, func(string) int { return int(in.inFlight.Load()) }),
		Peers:        func() []netip.AddrPort { return g.others(in) },
		Snapshot:     in.store.Snapshot,
		Status:       g.client,
		ShouldReport: func() bool { return i == 0 },
	})
	return in
}

func (g *group) others(self *instance) []netip.AddrPort {
	var out []netip.AddrPort
	for _, in := range g.instances {
		if in != self && !in.gone.Load() {
			out = append(out, in.address)
		}
	}
	return out
}

// drain sets or clears Drain at the platform and at the given instances.
func (g *group) drain(on bool, at ...*instance) {
	g.t.Helper()
	obj, err := config.Edit(g.t.Context(), g.client, api.KindBackendServer, "s", func(s api.BackendServerSpec) (api.BackendServerSpec, error) {
		return api.BackendServerSpec{Address: "10.9.0.1:80", DataCentre: "a", Models: []string{"m"}, Slots: 1, Drain: on}, nil
	})
	if err != nil {
		g.t.Fatal(err)
	}
	for _, in := range at {
		in.store.Apply(api.WatchEvent{Type: api.EventPut, Object: obj})
	}
}

func (g *group) expect(status bool, reason string, inFlight int) {
	g.t.Helper()
	obj, err := g.client.Get(g.t.Context(), api.KindBackendServer, "s")
	if err != nil {
		g.t.Fatal(err)
	}
	var s api.Status
	if err := json.Unmarshal(obj.Status, &s); err != nil {
		g.t.Fatal(err)
	}
	c, _ := objects.Condition(s, api.ConditionDrained)
	if c.Status != status || c.Reason != reason || s.InFlight != inFlight {
		g.t.Errorf("status %v, %s, %d in flight (%s); want %v, %s, %d", c.Status, c.Reason, s.InFlight, c.Message, status, reason, inFlight)
	}
}

func TestServerIsEmptyWhenAllInstancesCountNone(t *testing.T) {
	runGroup(t, 5, func(t *testing.T, g *group) {
		g.instances[1].inFlight.Store(2)
		g.instances[4].inFlight.Store(3)
		g.drain(true, g.instances...)
		time.Sleep(2 * Interval)
		g.expect(false, ReasonInFlight, 5)
		g.instances[1].inFlight.Store(0)
		g.instances[4].inFlight.Store(1)
		time.Sleep(WriteInterval + Interval)
		g.expect(false, ReasonInFlight, 1)
		g.instances[4].inFlight.Store(0)
		time.Sleep(2 * Interval)
		g.expect(true, ReasonEmpty, 0)
		before := g.platform.Counters()
		time.Sleep(time.Minute)
		if after := g.platform.Counters(); after.Writes != before.Writes || after.Reads != before.Reads {
			t.Errorf("calls at rest: %+v, then %+v", before, after)
		}
		g.drain(false, g.instances...)
		time.Sleep(2 * Interval)
		g.expect(false, ReasonNotDraining, 0)
	})
}

func TestServerIsNotEmptyBeforeAllInstancesKnow(t *testing.T) {
	runGroup(t, 3, func(_ *testing.T, g *group) {
		g.drain(true, g.instances[:2]...)
		time.Sleep(2 * Interval)
		g.expect(false, ReasonNotInForce, 0)
	})
}

func TestInstanceCutOffMayStillRunRequests(t *testing.T) {
	runGroup(t, 3, func(_ *testing.T, g *group) {
		lone := g.instances[2]
		lone.inFlight.Store(1)
		time.Sleep(time.Minute)
		g.network.Isolate(lone.address)
		lone.gone.Store(true)
		g.drain(true, g.instances...)
		time.Sleep(time.Minute)
		g.expect(false, ReasonUnreachable, 0)
		time.Sleep(DefaultVanishedTimeout + WriteInterval)
		g.expect(true, ReasonEmpty, 0)
	})
}

func TestInstanceThatLeftIsForgotten(t *testing.T) {
	runGroup(t, 3, func(_ *testing.T, g *group) {
		time.Sleep(time.Minute)
		left := g.instances[2]
		g.network.Isolate(left.address)
		left.gone.Store(true)
		g.instances[0].reporter.InstanceLeft(left.address)
		g.drain(true, g.instances...)
		time.Sleep(10 * Interval)
		g.expect(true, ReasonEmpty, 0)
	})
}

func TestOutageDelaysTheReportOnly(t *testing.T) {
	runGroup(t, 3, func(_ *testing.T, g *group) {
		g.instances[1].inFlight.Store(1)
		g.drain(true, g.instances...)
		g.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		time.Sleep(time.Hour)
		g.instances[1].inFlight.Store(0)
		time.Sleep(time.Minute)
		g.platform.SetFaults(platform.Faults{})
		time.Sleep(2 * Interval)
		g.expect(true, ReasonEmpty, 0)
	})
}

// TestStaleReadDoesNotHideAnEmptyServer drains an idle server while reads lag.
func TestStaleReadDoesNotHideAnEmptyServer(t *testing.T) {
	runGroup(t, 3, func(t *testing.T, g *group) {
		g.drain(false)
		time.Sleep(time.Minute)
		g.platform.SetFaults(platform.Faults{StaleReads: api.Duration(2 * time.Second)})
		g.drain(true, g.instances...)
		time.Sleep(10 * time.Second)
		g.platform.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		g.expect(true, ReasonEmpty, 0)
	})
}

// TestEmptyServerStaysEmpty counts a request that is turned away at the server
// after the server was told to be empty, while reads lag.
func TestEmptyServerStaysEmpty(t *testing.T) {
	runGroup(t, 3, func(t *testing.T, g *group) {
		g.drain(true, g.instances...)
		time.Sleep(2 * Interval)
		g.expect(true, ReasonEmpty, 0)
		g.platform.SetFaults(platform.Faults{StaleReads: api.Duration(Interval + Interval/2)})
		g.instances[1].inFlight.Store(2)
		time.Sleep(Interval)
		g.instances[1].inFlight.Store(0)
		time.Sleep(10 * time.Second)
		g.platform.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		g.expect(true, ReasonEmpty, 0)
	})
}

// TestReadFromBeforeTheServerDoesNotHideIt drains a server that was created
// after the state that reads answer with.
func TestReadFromBeforeTheServerDoesNotHideIt(t *testing.T) {
	runGroup(t, 3, func(t *testing.T, g *group) {
		g.drain(true, g.instances...)
		g.platform.SetFaults(platform.Faults{StaleReads: api.Duration(5 * time.Second)})
		time.Sleep(3 * time.Second)
		g.platform.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		g.expect(true, ReasonEmpty, 0)
	})
}
