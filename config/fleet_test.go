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
	testDelay       = 500 * time.Microsecond
	watchersPerDC   = 2
	testCallTimeout = 2 * time.Second
)

// fleet is a set of instances in one process, in virtual time.
type fleet struct {
	t        *testing.T
	platform *platform.Server
	network  *memnet.Network
	admin    *objects.Client
	members  []*member
}

type member struct {
	fleet   *fleet
	index   int
	dc      string
	address netip.AddrPort
	cut     atomic.Bool // from the platform
	noWatch atomic.Bool // its watches stay silent
	stop    context.CancelFunc
	running atomic.Bool

	end   *memnet.Endpoint
	store *Store
	agent *Agent
	done  chan struct{}
}

func newFleet(t *testing.T, size, dataCentres int, opts platform.Options) *fleet {
	f := &fleet{t: t, platform: platform.New(opts), network: memnet.New(1)}
	f.network.SetDelay(testDelay)
	f.admin = f.client(nil)
	for i := range size {
		m := &member{fleet: f, index: i, dc: fmt.Sprintf("dc%d", i%dataCentres)}
		m.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}), 7000)
		f.members = append(f.members, m)
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) client(cut *atomic.Bool) *objects.Client {
	transport := &objectstest.Transport{Handler: f.platform, Intercept: func(*http.Request) error {
		if cut != nil && cut.Load() {
			return errors.New("cut off")
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

// start runs the member as a new process that knows nothing.
func (m *member) start() {
	f := m.fleet
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan struct{})
	m.end = f.network.Listen(m.address)
	m.store = NewStore()
	client := f.client(&m.cut)
	m.agent = NewAgent(Options{
		Store: m.store, Platform: silenceable{client, &m.noWatch}, Transport: m.end, DataCentre: m.dc,
		Peers: m.peers, ShouldWatch: m.watches, Seed: uint64(m.index + 1),
		Status: client, ShouldReport: func() bool { return m.firstRunning() },
	})
	m.running.Store(true)
	go m.guard(ctx, m.store)
	done := m.done
	go func() {
		m.agent.Run(ctx)
		close(done)
	}()
}

// silenceable is a platform whose watches can be made silent.
type silenceable struct {
	*objects.Client
	silent *atomic.Bool
}

func (s silenceable) Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error {
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
	m.end.Close()
	<-m.done
}

// guard fails the test if a resource's spec version ever falls, or if a
// deleted resource comes back with a version that it had before.
func (m *member) guard(ctx context.Context, s *Store) {
	highest := make(map[string]int64)
	gone := make(map[string]bool)
	for {
		changed := s.Changed()
		servers := s.Snapshot().BackendServers
		for name, server := range servers {
			if server.SpecVersion < highest[name] || gone[name] && server.SpecVersion == highest[name] {
				m.fleet.t.Errorf("instance %d: %s went from version %d to %d", m.index, name, highest[name], server.SpecVersion)
			}
			highest[name], gone[name] = server.SpecVersion, false
		}
		for name := range highest {
			_, exists := servers[name]
			gone[name] = !exists
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (m *member) peers() []Peer {
	var out []Peer
	for _, other := range m.fleet.members {
		if other != m && other.running.Load() {
			out = append(out, Peer{Address: other.address, DataCentre: other.dc})
		}
	}
	return out
}

func (m *member) watches() bool {
	before := 0
	for _, other := range m.fleet.members[:m.index] {
		if other.dc == m.dc && other.running.Load() {
			before++
		}
	}
	return before < watchersPerDC
}

func (m *member) firstRunning() bool {
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

// put sets a backend server's slots as an operator does, and returns the spec
// version.
func (f *fleet) put(name string, slots int) int64 {
	f.t.Helper()
	obj, err := Edit(f.t.Context(), f.admin, api.KindBackendServer, name, func(api.BackendServerSpec) (api.BackendServerSpec, error) {
		return serverSpec(slots), nil
	})
	if err != nil {
		f.t.Fatalf("put %s: %v", name, err)
	}
	return obj.SpecVersion
}

// putRaw writes a spec without validation, as another tool might.
func (f *fleet) putRaw(name, spec string) int64 {
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

func (f *fleet) remove(name string) {
	f.t.Helper()
	obj, err := f.admin.Get(f.t.Context(), api.KindBackendServer, name)
	if err == nil {
		err = f.admin.Delete(f.t.Context(), obj.Kind, name, obj.Version)
	}
	if err != nil {
		f.t.Fatalf("remove %s: %v", name, err)
	}
}

// slots returns the slots in force at a member, or 0 if it has no such server.
func (m *member) slots(name string) int {
	return m.store.Snapshot().BackendServers[name].Spec.Slots
}

// expect waits until every running member has the slots, and returns how long
// that took. It fails after limit.
func (f *fleet) expect(name string, slots int, limit time.Duration) time.Duration {
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

// awaitReady fails unless all running members are ready within limit.
func (f *fleet) awaitReady(limit time.Duration) {
	f.t.Helper()
	start := time.Now()
	for _, m := range f.members {
		for m.running.Load() && !m.store.Ready() {
			if time.Since(start) > limit {
				f.t.Fatalf("instance %d is not ready after %v", m.index, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// cutWatches ends all open watches.
func (f *fleet) cutWatches() {
	f.outage()
	time.Sleep(10 * time.Millisecond)
	f.noFaults()
}

func (f *fleet) outage() { f.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse}) }

func (f *fleet) noFaults() { f.platform.SetFaults(platform.Faults{}) }
