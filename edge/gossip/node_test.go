package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
)

// plainDecoder reads a configuration that is written as its version.
type plainDecoder struct{}

func (plainDecoder) Configuration(spec []byte) (catalog.Configuration, error) {
	var c catalog.Configuration
	return c, json.Unmarshal(spec, &c.Version)
}

func (plainDecoder) Server(id string, _ []byte) (catalog.BackendServer, error) {
	return catalog.BackendServer{ID: id, Service: "m"}, nil
}

// peerNode is one instance's part of the exchange.
type peerNode struct {
	*Node
	table *catalog.Catalog
	// storeAge is how long ago the store answered it.
	storeAge time.Duration
	mu       sync.Mutex
	reports  map[string][]balancer.ServerReport
	digests  map[string][]balancer.ServerReport
	stop     context.CancelFunc
	done     chan struct{}
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func startNode(t *testing.T, name string, storeAge time.Duration, seeds ...netip.AddrPort) *peerNode {
	t.Helper()
	return startNodeIn(t, "dc", name, storeAge, seeds...)
}

func startNodeIn(t *testing.T, dataCentre, name string, storeAge time.Duration, seeds ...netip.AddrPort) *peerNode {
	t.Helper()
	n := &peerNode{
		table: catalog.New(plainDecoder{}), storeAge: storeAge,
		reports: make(map[string][]balancer.ServerReport), digests: make(map[string][]balancer.ServerReport),
		done: make(chan struct{}),
	}
	b, err := Listen(Options{
		Name: name, DataCentre: dataCentre, Cluster: "test", Address: freeAddress(t), Seeds: seeds, Catalog: n.table,
		Reports: func(time.Time) []balancer.ServerReport {
			return []balancer.ServerReport{{Key: uint64(len(name)), Load: balancer.Load{Running: 3}, Parts: []uint64{7}}}
		},
		ReceiveReports: func(peer, _ string, reports []balancer.ServerReport, _ time.Time) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reports[peer] = reports
		},
		Summary: func(time.Time) []balancer.ServerReport {
			return []balancer.ServerReport{{Key: 99, Load: balancer.Load{Running: 12}}}
		},
		ReceiveSummary: func(dataCentre string, reports []balancer.ServerReport, _ time.Time) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.digests[dataCentre] = reports
		},
		OnChange: func(string, []catalog.Change) {}, Log: slog.New(slog.DiscardHandler),
		StoreAge: n.age,
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Node = b
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		b.Run(ctx)
	}()
	t.Cleanup(n.end)
	return n
}

func (n *peerNode) end() {
	n.stop()
	<-n.done
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 10 s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *peerNode) live() int {
	live, _ := n.CountInstances()
	return live
}

func configured(version int64) catalog.Record {
	return catalog.Record{Kind: catalog.KindConfiguration, Name: "main", Revision: version, Spec: fmt.Append(nil, version)}
}

func TestInstancesFindEachOtherByOneSeed(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "bb", 0, a.opts.Address)
	c := startNode(t, "ccc", 0, a.opts.Address)
	for _, n := range []*peerNode{a, b, c} {
		await(t, "three live instances", func() bool { return n.live() == 3 })
	}
	await(t, "reports of b at c", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		r := c.reports["bb"]
		return len(r) == 1 && r[0].Load.Running == 3 && len(r[0].Parts) == 1 && r[0].Parts[0] == 7
	})
}

// TestConfigurationReachesAnInstanceThatHasNoStore gives a change to one
// instance only.
func TestConfigurationReachesAnInstanceThatHasNoStore(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "b", time.Hour, a.opts.Address)
	await(t, "two live instances", func() bool { return a.live() == 2 && b.live() == 2 })
	a.table.Merge([]catalog.Record{configured(5), {Kind: catalog.KindServer, Name: "i-1", Revision: 6}}, time.Now())
	a.SendNow()
	began := time.Now()
	await(t, "the configuration at b", func() bool {
		s := b.table.Snapshot()
		return s.Version == 5 && len(s.Servers) == 1
	})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("took %v", took)
	}
	a.table.Merge([]catalog.Record{{Kind: catalog.KindServer, Name: "i-1", Revision: 7, Deleted: true}}, time.Now())
	a.SendNow()
	await(t, "the delete at b", func() bool { return b.table.Snapshot().Servers["i-1"].EntryMissing })
}

func TestSilentInstanceIsNoticedAndRemembered(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "b", 0, a.opts.Address)
	await(t, "two live instances", func() bool { return a.live() == 2 })
	b.end()
	await(t, "one live instance", func() bool { return a.live() == 1 })
	if _, known := a.CountInstances(); known != 2 {
		t.Errorf("%d known instances, want the silent one too: it may only be cut off", known)
	}
}

// TestTooFewWatchersAreReplaced has the store turn the watchers away: the others
// take their place.
func TestTooFewWatchersAreReplaced(t *testing.T) {
	nodes := []*peerNode{startNode(t, "n0", 0)}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprint("n", i), 0, nodes[0].opts.Address))
	}
	watching := func() []*peerNode {
		var out []*peerNode
		for _, n := range nodes {
			if n.ShouldWatchStore(time.Now()) {
				out = append(out, n)
			}
		}
		return out
	}
	await(t, "all live and two watchers", func() bool {
		for _, n := range nodes {
			if n.live() != len(nodes) {
				return false
			}
		}
		return len(watching()) == watchers
	})
	turnedAway := watching()
	for _, n := range turnedAway {
		n.mu.Lock()
		n.storeAge = time.Hour
		n.mu.Unlock()
	}
	await(t, "two more watchers", func() bool { return len(watching()) >= 2*watchers })
}

func TestLateAndForeignMessagesChangeNothing(t *testing.T) {
	m := newMembers(netip.MustParseAddrPort("10.0.0.1:1"))
	now := time.Unix(100, 0)
	from := netip.MustParseAddrPort("10.0.0.2:1")
	hear := func(started int64, sequence uint64) bool {
		_, news, _ := m.hear(message{Name: "b", Address: from, Started: started, Sequence: sequence}, now)
		return news
	}
	if !hear(5, 2) || hear(5, 2) || hear(5, 1) || hear(4, 9) || !hear(5, 3) || !hear(6, 1) {
		t.Error("a message was taken twice, out of order, or of a life before")
	}
	if _, news, _ := m.hear(message{Name: "a", Address: m.self, Started: 9, Sequence: 9}, now); news {
		t.Error("an instance took its own message")
	}
	for _, raw := range [][]byte{nil, {0xff}, []byte("junk")} {
		if _, err := decode(raw); err == nil {
			t.Errorf("%q was read", raw)
		}
	}
}

func TestMessageFitsIntoADatagram(t *testing.T) {
	m := message{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	for n := range 500 {
		m.Reports = append(m.Reports, balancer.ServerReport{Key: uint64(n) << 40, Load: balancer.Load{Running: 9, Waiting: 9, Unread: 99999}})
	}
	raw, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(raw)
	if err != nil || len(raw) > maxDatagramBytes || len(got.Reports) < 20 {
		t.Errorf("%d bytes, %d reports, %v", len(raw), len(got.Reports), err)
	}
}

// TestBytesOfAMessage tells what a datagram takes for docs/CAPACITY.md.
func TestBytesOfAMessage(t *testing.T) {
	bytesFor := func(servers int) int {
		m := message{
			Cluster: "10.200.1.7:8223", Name: "edge-ro-central-a-1", DataCentre: "ro-central-a", Started: time.Now().UnixNano(),
			Sequence: 1000, Address: netip.MustParseAddrPort("10.1.0.40:7340"), Revision: 50, Servers: 1 << 60, StoreAgeMs: 300,
		}
		for n := range servers {
			m.Reports = append(m.Reports, balancer.ServerReport{
				Key: uint64(n+1) << 50, Load: balancer.Load{Running: 3, Waiting: 1, Unread: 5000, Memory: 40000},
				Sends: 250, Failures: 3, Expected: 40, Observed: 45, Parts: []uint64{1 << 30},
			})
		}
		raw, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	none, ten := bytesFor(0), bytesFor(10)
	t.Logf("%d bytes without servers, %.1f more for each", none, float64(ten-none)/10)
	if perServer := (ten - none) / 10; none+22*perServer > maxDatagramBytes {
		t.Errorf("22 servers don't fit: %d bytes and %d for each", none, perServer)
	}
}

func TestEachMemberHasItsTurn(t *testing.T) {
	m := newMembers(netip.MustParseAddrPort("10.0.0.1:1"))
	for n := range 50 {
		m.learn(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 1), time.Unix(1, 0))
	}
	sent := make(map[netip.AddrPort]int)
	for range 50 {
		for _, a := range m.near.next(m.sorted(), fanout) {
			sent[a]++
		}
	}
	for a, n := range sent {
		if n != fanout {
			t.Errorf("%v was sent to %d times, want %d", a, n, fanout)
		}
	}
	if len(sent) != 50 {
		t.Errorf("%d of 50 were sent to", len(sent))
	}
}

func (n *peerNode) age(time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeAge
}
