package gossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/serverlimit"
)

// fullLimitReports returns as many and as long reports as a datagram may hold.
func fullLimitReports() []serverlimit.Report {
	table := serverlimit.New(serverlimit.Options{View: func() serverlimit.View { return serverlimit.View{} }})
	now := time.Now()
	for server := range uint64(64) {
		table.Record(1<<32-1-server, serverlimit.NewLimit(2000), now, now)
	}
	return table.Reports(now.Add(time.Hour))
}

// TestLimitReachesAllInstances guards against a limit that only those instances keep that
// heard of it themselves, or those of one data centre, and against an end that stays there.
func TestLimitReachesAllInstances(t *testing.T) {
	const perDataCentre = 10
	const server = 5
	var nodes []*testNode
	for n := range 2 * perDataCentre {
		var seeds []netip.AddrPort
		if n > 0 {
			seeds = append(seeds, nodes[0].opts.Address)
		}
		nodes = append(nodes, startNodeIn(t, fmt.Sprint("dc", n%2), fmt.Sprint("node", n), 0, seeds...))
	}
	for _, n := range nodes {
		await(t, "all instances live at "+n.opts.Name, func() bool { return n.live() == 2*perDataCentre })
	}
	expectCount := func(step string, want int) {
		for _, n := range nodes {
			await(t, step+" at "+n.opts.Name, func() bool { return n.limits.Count() == want })
		}
	}
	nodes[0].limits.Record(server, serverlimit.NewLimit(1.5), time.Now(), time.Now())
	expectCount("limit", 1)
	time.Sleep(300 * time.Millisecond)
	nodes[1].limits.Record(server, serverlimit.Limit{}, time.Now(), time.Now())
	expectCount("end of the limit", 0)
}

// TestViewLeavesOutWhoLeaves checks which instances share a limit: not one that announced
// that it leaves. One that fell silent makes the view incomplete.
func TestViewLeavesOutWhoLeaves(t *testing.T) {
	a := startNode(t, "a", 0)
	b := startNode(t, "b", 0, a.opts.Address)
	c := startNode(t, "c", 0, a.opts.Address)
	expect := func(step string, n *testNode, complete bool, live ...string) {
		t.Helper()
		await(t, step, func() bool {
			v := n.View()
			return slices.Equal(v.Live, live) && v.Complete == complete
		})
	}
	expect("all", a, true, "a", "b", "c")
	b.Leave()
	expect("without the one that leaves", a, true, "a", "c")
	expect("at the one that leaves", b, true, "a", "c")
	b.shutDown()
	c.shutDown()
	expect("one that fell silent", a, false, "a")
}
