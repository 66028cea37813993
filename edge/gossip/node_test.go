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
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/objects"
)

// plainDecoder decodes a configuration whose spec is only its version.
type plainDecoder struct{}

func (plainDecoder) Configuration(spec []byte) (catalog.Configuration, error) {
	var c catalog.Configuration
	return c, json.Unmarshal(spec, &c.Version)
}

func (plainDecoder) Server(id string, spec []byte) (catalog.BackendServer, error) {
	return catalog.BackendServer{ID: id, Service: "m", Leaving: string(spec) == "leaving"}, nil
}

// testNode is a running Node that records what it receives.
type testNode struct {
	*Node
	catalog *catalog.Catalog
	// storeAge is how long ago the store last responded to the node.
	storeAge  time.Duration
	mu        sync.Mutex
	reports   map[string][]balancer.ServerReport
	summaries map[string][]balancer.ServerReport
	urgencies map[string][]balancer.UrgencyReport
	guard     *crashguard.Guard
	limits    *serverlimit.Table
	stop      context.CancelFunc
	done      chan struct{}
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

func startNode(t *testing.T, name string, storeAge time.Duration, seeds ...netip.AddrPort) *testNode {
	t.Helper()
	return startNodeIn(t, "dc", name, storeAge, seeds...)
}

func startNodeIn(t *testing.T, dataCentre, name string, storeAge time.Duration, seeds ...netip.AddrPort) *testNode {
	t.Helper()
	n := &testNode{
		catalog: catalog.New(plainDecoder{}), storeAge: storeAge,
		reports: make(map[string][]balancer.ServerReport), summaries: make(map[string][]balancer.ServerReport),
		urgencies: make(map[string][]balancer.UrgencyReport),
		guard:     crashguard.New(crashguard.Options{Instances: func() int { return 1 }}),
		done:      make(chan struct{}),
	}
	n.limits = serverlimit.New(serverlimit.Options{Name: name, View: func() serverlimit.View { return n.View() }})
	node, err := Listen(Options{
		Name: name, DataCentre: dataCentre, Cluster: "test", Address: freeAddress(t), Seeds: seeds, Catalog: n.catalog,
		Reports: func(time.Time) balancer.InstanceReports {
			return balancer.InstanceReports{
				Servers:   []balancer.ServerReport{{Key: uint64(len(name)), Load: balancer.Load{Running: 3}, PrefixBlocks: []uint64{7}}},
				Urgencies: []balancer.UrgencyReport{{Service: 5, RoutePriority: 2, Requests: 100, Late: 50, Target: 600, LongestDelay: 400}},
			}
		},
		ReceiveReports: func(peer, _ string, reports balancer.InstanceReports, _ time.Time) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reports[peer] = reports.Servers
			n.urgencies[peer] = reports.Urgencies
		},
		Summary: func(time.Time) []balancer.ServerReport {
			return []balancer.ServerReport{{Key: 99, Load: balancer.Load{Running: 12}}}
		},
		ReceiveSummary: func(dataCentre string, reports []balancer.ServerReport, _ time.Time) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.summaries[dataCentre] = reports
		},
		CrashReports: n.guard.Reports, ReceiveCrashReports: n.guard.Receive,
		LimitReports: n.limits.Reports, ReceiveLimitReports: n.limits.Receive,
		CutOff:         func() bool { return false },
		LeavingServers: func(time.Time) []uint64 { return nil }, ReceiveLeavingServers: func([]uint64, time.Time) {},
		ListedVersions: func() []uint64 { return nil }, ReceiveListedVersions: func([]uint64) {},
		OnChange: func(string, []catalog.Change) {}, Log: slog.New(slog.DiscardHandler),
		StoreAge: n.currentStoreAge,
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Node = node
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		node.Run(ctx)
	}()
	t.Cleanup(n.shutDown)
	return n
}

func (n *testNode) shutDown() {
	n.stop()
	<-n.done
}

// await waits until a condition becomes true. It ends the test after 10 s.
func await(t *testing.T, label string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached within 10 s", label)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// live returns the number of instances that count as live at the node.
func (n *testNode) live() int {
	live, _ := n.CountInstances()
	return live
}

// configurationRecord returns a record whose revision equals its version.
func configurationRecord(version int64) catalog.Record {
	return catalog.Record{Kind: catalog.KindConfiguration, Name: "main", Revision: version, Spec: fmt.Append(nil, version)}
}

// TestInstancesDiscoverEachOtherFromOneSeed starts three instances, two of which know only
// the address of the first one. All must find each other and exchange reports.
func TestInstancesDiscoverEachOtherFromOneSeed(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "bb", 0, a.opts.Address)
	c := startNode(t, "ccc", 0, a.opts.Address)
	for _, n := range []*testNode{a, b, c} {
		await(t, "three live instances", func() bool { return n.live() == 3 })
	}
	await(t, "reports of b at c", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		r, u := c.reports["bb"], c.urgencies["bb"]
		return len(u) == 1 && u[0] == (balancer.UrgencyReport{Service: 5, RoutePriority: 2, Requests: 100, Late: 50, Target: 600, LongestDelay: 400}) && len(r) == 1 && r[0].Load.Running == 3 && len(r[0].PrefixBlocks) == 1 && r[0].PrefixBlocks[0] == 7
	})
}

// TestTwoServersLeavingAtOnceReachPeer guards against changes that cancel out in the digest
// that peers compare: these two did.
func TestTwoServersLeavingAtOnceReachPeer(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "b", time.Hour, a.opts.Address)
	await(t, "two live instances", func() bool { return a.live() == 2 && b.live() == 2 })
	a.catalog.Merge([]catalog.Record{
		configurationRecord(1),
		{Kind: catalog.KindServer, Name: "i-9046ff59e0", Revision: 6},
		{Kind: catalog.KindServer, Name: "i-9e16b79e8c", Revision: 3},
	}, time.Now())
	available := func() int { return len(b.catalog.Snapshot().AvailableServers("m", time.Now())) }
	await(t, "both servers at the peer", func() bool { return available() == 2 })
	a.catalog.Merge([]catalog.Record{
		{Kind: catalog.KindServer, Name: "i-9046ff59e0", Revision: 16, Spec: []byte("leaving")},
		{Kind: catalog.KindServer, Name: "i-9e16b79e8c", Revision: 17, Spec: []byte("leaving")},
	}, time.Now())
	startTime := time.Now()
	await(t, "the peer knows that both leave", func() bool { return available() == 0 })
	// A leaving server must get no requests 2 s later; half of that is for the store.
	if elapsed := time.Since(startTime); elapsed > time.Second {
		t.Errorf("the peer knew after %v, want at most 1 s", elapsed)
	}
}

// TestRecordsReachInstanceWithoutStore merges records into the catalog of one
// instance only. The other instance, which gets no response from the store, has to
// fetch them.
func TestRecordsReachInstanceWithoutStore(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "b", time.Hour, a.opts.Address)
	await(t, "two live instances", func() bool { return a.live() == 2 && b.live() == 2 })
	a.catalog.Merge([]catalog.Record{configurationRecord(5), {Kind: catalog.KindServer, Name: "i-1", Revision: 6}}, time.Now())
	a.SendNow()
	startTime := time.Now()
	await(t, "the configuration at b", func() bool {
		s := b.catalog.Snapshot()
		return s.Version == 5 && len(s.Servers) == 1
	})
	if elapsed := time.Since(startTime); elapsed > 2*time.Second {
		t.Errorf("the records took %v to reach b, want at most 2 s", elapsed)
	}
	a.catalog.Merge([]catalog.Record{{Kind: catalog.KindServer, Name: "i-1", Revision: 7, Deleted: true}}, time.Now())
	a.SendNow()
	await(t, "the deletion at b", func() bool { return b.catalog.Snapshot().Servers["i-1"].EntryMissing })
}

// TestSilentInstanceIsDetectedAndKept stops one of two instances. The other instance
// must count the stopped one as known, but no longer as live.
func TestSilentInstanceIsDetectedAndKept(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "b", 0, a.opts.Address)
	await(t, "two live instances", func() bool { return a.live() == 2 })
	b.shutDown()
	await(t, "one live instance", func() bool { return a.live() == 1 })
	if _, known := a.CountInstances(); known != 2 {
		t.Errorf("got %d known instances, want 2 because the silent instance may be partitioned", known)
	}
}

// TestWatchersWithoutStoreAreReplaced makes the store stop responding to the two
// instances that watch it. Two other instances must take over.
func TestWatchersWithoutStoreAreReplaced(t *testing.T) {
	nodes := []*testNode{startNode(t, "n0", 0)}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprint("n", i), 0, nodes[0].opts.Address))
	}
	watching := func() []*testNode {
		var out []*testNode
		for _, n := range nodes {
			if n.ShouldWatchStore(time.Now()) {
				out = append(out, n)
			}
		}
		return out
	}
	await(t, "all instances live and two watchers", func() bool {
		for _, n := range nodes {
			if n.live() != len(nodes) {
				return false
			}
		}
		return len(watching()) == watcherCount
	})
	cutOff := watching()
	for _, n := range cutOff {
		n.mu.Lock()
		n.storeAge = time.Hour
		n.mu.Unlock()
	}
	await(t, "two more watchers", func() bool { return len(watching()) >= 2*watcherCount })
}

// TestStaleAndMalformedMessagesAreIgnored delivers duplicate messages, messages out of
// order, messages from before the sender's restart, messages of the instance itself,
// and malformed datagrams. All must be rejected.
func TestStaleAndMalformedMessagesAreIgnored(t *testing.T) {
	m := newMembers(netip.MustParseAddrPort("10.0.0.1:1"), "dc")
	now := time.Unix(100, 0)
	from := netip.MustParseAddrPort("10.0.0.2:1")
	accepts := func(started int64, sequence uint64) bool {
		_, isNew, _ := m.receive(message{Name: "b", Address: from, Started: started, Sequence: sequence}, catalog.Digest{}, now)
		return isNew
	}
	if !accepts(5, 2) || accepts(5, 2) || accepts(5, 1) || accepts(4, 9) || !accepts(5, 3) || !accepts(6, 1) {
		t.Error("accepted a stale message (a duplicate, one out of order, or one from before a restart), or rejected a new one")
	}
	if _, isNew, _ := m.receive(message{Name: "a", Address: m.self, Started: 9, Sequence: 9}, catalog.Digest{}, now); isNew {
		t.Error("an instance accepted its own message, want it rejected")
	}
	for _, raw := range [][]byte{nil, {0xff}, []byte("junk")} {
		if _, err := decode(raw); err == nil {
			t.Errorf("the malformed datagram %q was accepted, want an error", raw)
		}
	}
}

// TestInstanceThatStartsWithItsClockBehindIsHeard guards against an instance that nobody hears for minutes, because
// its time of day jumped back between two starts.
func TestInstanceThatStartsWithItsClockBehindIsHeard(t *testing.T) {
	m := newMembers(netip.MustParseAddrPort("10.0.0.1:1"), "dc")
	now := time.Now()
	before := message{Name: "b", Address: netip.MustParseAddrPort("10.0.0.2:1"), Started: 100, Sequence: 50}
	after := before
	after.Started, after.Sequence = 98, 1
	m.receive(before, catalog.Digest{}, now)
	if _, isNew, _ := m.receive(after, catalog.Digest{}, now.Add(LiveTimeout/2)); isNew {
		t.Error("a message of an earlier start was accepted from a live instance")
	}
	now = now.Add(LiveTimeout + time.Millisecond)
	m.expire(now)
	if _, isNew, becameLive := m.receive(after, catalog.Digest{}, now); !isNew || !becameLive {
		t.Error("an instance that started anew with its clock behind is not heard once its last run is silent")
	}
	after.Sequence++
	if _, isNew, _ := m.receive(after, catalog.Digest{}, now); !isNew {
		t.Error("its second message is not heard")
	}
}

// TestMessageFitsIntoDatagram encodes a message with too many reports for one datagram.
// Some reports must be dropped.
func TestMessageFitsIntoDatagram(t *testing.T) {
	m := message{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	for n := range 500 {
		m.Reports = append(m.Reports, balancer.ServerReport{Key: uint64(n) << 40, Load: balancer.Load{Running: 9, Waiting: 9, PrefillTokens: 99999}})
	}
	raw, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(raw)
	if err != nil || len(raw) > maxDatagramBytes || len(got.Reports) < 20 {
		t.Errorf("got a message of %d bytes with %d reports, error %v; want at most 1400 bytes and at least 20 reports", len(raw), len(got.Reports), err)
	}
}

// TestMessageSize logs the size of a datagram, for docs/CAPACITY.md, and checks that
// reports on 22 servers and six urgencies fit into one datagram.
func TestMessageSize(t *testing.T) {
	bytesFor := func(servers, urgencies int) int {
		m := message{
			Cluster: "10.200.1.7:8223", Name: "edge-ro-central-a-1", DataCentre: "ro-central-a", Started: time.Now().UnixNano(),
			Sequence: 1000, Address: netip.MustParseAddrPort("10.1.0.40:7340"), Revision: 50, ServersDigest: 1 << 60, StoreAgeMs: 300,
			stated: stated{Era: objects.NumberedEra(2), ConfigurationVersion: 120},
		}
		for n := range servers {
			m.Reports = append(m.Reports, balancer.ServerReport{
				Key: uint64(n+1) << 50, Load: balancer.Load{Running: 3, Waiting: 1, PrefillTokens: 5000, MemoryTokens: 40000},
				Sends: 250, Failures: 3, ExpectedDelay: 40, ObservedDelay: 45, PrefixBlocks: []uint64{1 << 30},
			})
		}
		for range urgencies {
			m.Urgencies = append(m.Urgencies, balancer.UrgencyReport{
				Service: 1 << 31, OrganisationPriority: 1, RoutePriority: 2, Requests: 2000, Late: 300, Target: 1500, LongestDelay: 1200,
			})
		}
		raw, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	none, ten, urgencies := bytesFor(0, 0), bytesFor(10, 0), bytesFor(0, 6)
	t.Logf("%d bytes without reports, %.1f more per server, %.1f more per urgency", none, float64(ten-none)/10, float64(urgencies-none)/6)
	if perServer := (ten - none) / 10; urgencies+22*perServer > maxDatagramBytes {
		t.Errorf("a datagram has %d bytes without servers and %d more per server, want at most 1400 bytes with reports on 22 servers", urgencies, perServer)
	}
}

// TestRotationReachesEachMemberEqually runs one round for each member. Each member
// must be chosen fanout times in total.
func TestRotationReachesEachMemberEqually(t *testing.T) {
	m := newMembers(netip.MustParseAddrPort("10.0.0.1:1"), "dc")
	for n := range 50 {
		m.add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 1), time.Unix(1, 0))
	}
	sent := make(map[netip.AddrPort]int)
	for range 50 {
		for _, a := range m.local.next(m.ordered().all, fanout) {
			sent[a]++
		}
	}
	for a, n := range sent {
		if n != fanout {
			t.Errorf("the member %v was chosen %d times, want %d", a, n, fanout)
		}
	}
	if len(sent) != 50 {
		t.Errorf("%d members were chosen, want 50", len(sent))
	}
}

func (n *testNode) currentStoreAge(time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeAge
}
