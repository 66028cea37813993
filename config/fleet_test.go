package config

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/objects/objectstest"
	"bergamotpin.example/bergamotpin/peer/memnet"
	"bergamotpin.example/bergamotpin/standin/platform"
)

const (
	networkDelay    = 500 * time.Microsecond // of each message between instances
	watchersPerDC   = 2
	testCallTimeout = 2 * time.Second
)

// fleet is a set of instances and a platform in one process, in virtual time.
type fleet struct {
	t        *testing.T
	platform *platform.Server
	network  *memnet.Network
	admin    *objects.Client // makes the calls of operators and of the test
	members  []*member
}

// member is one instance of a fleet.
type member struct {
	fleet       *fleet
	index       int
	dc          string
	address     netip.AddrPort
	platformCut atomic.Bool // whether the member's calls to the platform fail
	watchSilent atomic.Bool // whether the member's watches deliver nothing
	stop        context.CancelFunc
	running     atomic.Bool

	endpoint *memnet.Endpoint
	store    *Store
	agent    *Agent
	done     chan struct{}
}

func newFleet(t *testing.T, size, dataCentres int, opts platform.Options) *fleet {
	f := &fleet{t: t, platform: platform.New(opts), network: memnet.New(1)}
	f.network.SetDelay(networkDelay)
	f.admin = f.newClient(nil)
	for i := range size {
		m := &member{fleet: f, index: i, dc: fmt.Sprintf("dc%d", i%dataCentres)}
		m.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}), 7000)
		f.members = append(f.members, m)
	}
	t.Cleanup(f.close)
	return f
}

// newClient returns a client of the platform. If disconnected is not nil, the
// client's calls fail while its value is true.
func (f *fleet) newClient(disconnected *atomic.Bool) *objects.Client {
	transport := &objectstest.Transport{Handler: f.platform, Intercept: func(*http.Request) error {
		if disconnected != nil && disconnected.Load() {
			return errors.New("disconnected by the test")
		}
		return nil
	}}
	return objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client(), CallTimeout: testCallTimeout})
}

func (f *fleet) startAll() {
	for _, m := range f.members {
		m.start()
	}
}

func (f *fleet) close() {
	for _, m := range f.members {
		m.kill()
	}
	f.platform.Close()
}

// start runs the member as a new process with an empty store.
func (m *member) start() {
	f := m.fleet
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan struct{})
	m.endpoint = f.network.Listen(m.address)
	m.store = NewStore()
	client := f.newClient(&m.platformCut)
	m.agent = NewAgent(Options{
		Store: m.store, Platform: silenceablePlatform{client, &m.watchSilent}, Transport: m.endpoint, DataCentre: m.dc,
		Peers: m.livePeers, ShouldWatch: m.shouldWatch, Seed: uint64(m.index + 1),
		Status: client, ShouldReport: func() bool { return m.isFirstRunning() },
	})
	m.running.Store(true)
	go m.checkVersionsRise(ctx, m.store)
	done := m.done
	go func() {
		m.agent.Run(ctx)
		close(done)
	}()
}

// silenceablePlatform is a platform client whose watches can be made to deliver
// nothing.
type silenceablePlatform struct {
	*objects.Client
	silent *atomic.Bool
}

func (s silenceablePlatform) Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error {
	if s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.Client.Watch(ctx, kinds, from, handle)
}

func (m *member) kill() {
	if !m.running.Swap(false) {
		return
	}
	m.stop()
	m.endpoint.Close()
	<-m.done
}

// checkVersionsRise fails the test if the spec version of a backend server falls.
// It also fails the test if a deleted server reappears without a higher version.
func (m *member) checkVersionsRise(ctx context.Context, store *Store) {
	highest := make(map[string]int64)
	deleted := make(map[string]bool)
	for {
		changed := store.Changed()
		servers := store.Snapshot().BackendServers
		for name, server := range servers {
			if server.SpecVersion < highest[name] || deleted[name] && server.SpecVersion == highest[name] {
				m.fleet.t.Errorf("instance %d: server %s went from spec version %d to %d, want only rising versions", m.index, name, highest[name], server.SpecVersion)
			}
			highest[name], deleted[name] = server.SpecVersion, false
		}
		for name := range highest {
			_, exists := servers[name]
			deleted[name] = !exists
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// livePeers returns the other running members.
func (m *member) livePeers() []Peer {
	var peers []Peer
	for _, other := range m.fleet.members {
		if other != m && other.running.Load() {
			peers = append(peers, Peer{Address: other.address, DataCentre: other.dc})
		}
	}
	return peers
}

// shouldWatch reports whether fewer than watchersPerDC members of the same data
// centre run before this one in the order of members.
func (m *member) shouldWatch() bool {
	watchersBefore := 0
	for _, other := range m.fleet.members[:m.index] {
		if other.dc == m.dc && other.running.Load() {
			watchersBefore++
		}
	}
	return watchersBefore < watchersPerDC
}

// isFirstRunning reports whether none of the members before this one is running.
// The fleet uses it to select the member that writes statuses.
func (m *member) isFirstRunning() bool {
	for _, other := range m.fleet.members[:m.index] {
		if other.running.Load() {
			return false
		}
	}
	return true
}

func serverSpec(slots int) api.BackendServerSpec {
	return api.BackendServerSpec{Address: "10.9.0.1:80", DataCentre: "dc0", Models: []string{"m"}, Slots: slots}
}

// putServer sets a backend server's slots as an operator would, and returns the new
// spec version.
func (f *fleet) putServer(name string, slots int) int64 {
	f.t.Helper()
	obj, err := Edit(f.t.Context(), f.admin, api.KindBackendServer, name, func(api.BackendServerSpec) (api.BackendServerSpec, error) {
		return serverSpec(slots), nil
	})
	if err != nil {
		f.t.Fatalf("writing backend server %s: error %v, want none", name, err)
	}
	return obj.SpecVersion
}

// putRawSpec replaces a backend server's spec without validation, as another tool
// might, and returns the new spec version.
func (f *fleet) putRawSpec(name, spec string) int64 {
	f.t.Helper()
	obj, err := f.admin.Get(f.t.Context(), api.KindBackendServer, name)
	if err != nil {
		f.t.Fatal(err)
	}
	obj.Spec = json.RawMessage(spec)
	if obj, err = f.admin.Update(f.t.Context(), obj); err != nil {
		f.t.Fatal(err)
	}
	return obj.SpecVersion
}

func (f *fleet) deleteServer(name string) {
	f.t.Helper()
	obj, err := f.admin.Get(f.t.Context(), api.KindBackendServer, name)
	if err == nil {
		err = f.admin.Delete(f.t.Context(), obj.Kind, name, obj.Version)
	}
	if err != nil {
		f.t.Fatalf("deleting backend server %s: error %v, want none", name, err)
	}
}

// slots returns a backend server's slots in the member's snapshot, or 0 if the
// snapshot has no such server.
func (m *member) slots(name string) int {
	return m.store.Snapshot().BackendServers[name].Spec.Slots
}

// expectSlots waits until every running member has the given slots for a backend
// server, and returns how long that took. It fails the test if that takes longer
// than limit.
func (f *fleet) expectSlots(name string, slots int, limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for _, m := range f.members {
		for m.running.Load() && m.slots(name) != slots {
			if time.Since(start) > limit {
				f.t.Fatalf("instance %d has %d slots of %s after %v, want %d", m.index, m.slots(name), name, limit, slots)
			}
			time.Sleep(100 * time.Microsecond)
		}
	}
	return time.Since(start)
}

// awaitReady fails the test unless all running members are ready within limit.
func (f *fleet) awaitReady(limit time.Duration) {
	f.t.Helper()
	start := time.Now()
	for _, m := range f.members {
		for m.running.Load() && !m.store.Ready() {
			if time.Since(start) > limit {
				f.t.Fatalf("instance %d is not ready after %v, want it ready by then", m.index, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// closeWatches ends all open watches by a short platform outage.
func (f *fleet) closeWatches() {
	f.startOutage()
	time.Sleep(10 * time.Millisecond)
	f.clearFaults()
}

func (f *fleet) startOutage() { f.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse}) }

func (f *fleet) clearFaults() { f.platform.SetFaults(platform.Faults{}) }
