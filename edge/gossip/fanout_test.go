package gossip

import (
	"fmt"
	"net/netip"
	"testing"

	"bergamotpin.example/bergamotpin/edge/balancer"
)

// TestDataCentresExchangeSummaries starts more than maxDirectPeers instances in two
// data centres. Each instance must get the summary of the other data centre, also
// after the representatives have stopped.
func TestDataCentresExchangeSummaries(t *testing.T) {
	const perDataCentre = 10
	var nodes []*testNode
	for n := range 2 * perDataCentre {
		dataCentre := fmt.Sprint("dc", n%2)
		name := fmt.Sprint("node", n)
		if n == 0 {
			nodes = append(nodes, startNodeIn(t, dataCentre, name, 0))
			continue
		}
		nodes = append(nodes, startNodeIn(t, dataCentre, name, 0, nodes[0].opts.Address))
	}
	hasSummary := func(n *testNode) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		other := "dc0"
		if n.opts.DataCentre == other {
			other = "dc1"
		}
		got := n.summaries[other]
		return len(got) == 1 && got[0].Key == 99 && got[0].Load.Running == 12
	}
	for _, n := range nodes {
		await(t, "all instances live at "+n.opts.Name, func() bool { return n.live() == 2*perDataCentre })
		await(t, "summary of the other data centre at "+n.opts.Name, func() bool { return hasSummary(n) })
	}
	var remaining []*testNode
	for _, n := range nodes {
		n.Node.mu.Lock()
		isRepresentative := n.summaryTargets() != nil
		n.Node.mu.Unlock()
		if isRepresentative {
			n.shutDown()
			continue
		}
		remaining = append(remaining, n)
	}
	if len(remaining) != 2*(perDataCentre-representativeCount) {
		t.Fatalf("%d of %d instances are not representatives, want all but four in each data centre", len(remaining), 2*perDataCentre)
	}
	for _, n := range remaining {
		n.mu.Lock()
		clear(n.summaries)
		n.mu.Unlock()
	}
	for _, n := range remaining {
		await(t, "summary from new representatives at "+n.opts.Name, func() bool { return hasSummary(n) })
	}
	if _, known := remaining[0].CountInstances(); known != 2*perDataCentre {
		t.Errorf("got %d known instances, want %d because silent instances may be partitioned", known, 2*perDataCentre)
	}
}

// TestLargeSummaryIsSplit encodes a summary that is too large for one datagram. Each
// report must arrive, in datagrams that are not fragmented.
func TestLargeSummaryIsSplit(t *testing.T) {
	m := message{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), Summary: true}
	for n := range 300 {
		m.Reports = append(m.Reports, balancer.ServerReport{Key: uint64(n+1) << 40, Load: balancer.Load{Running: 9, PrefillTokens: 99999}})
	}
	datagrams, err := encodeAll(m)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[uint64]bool)
	for _, raw := range datagrams {
		if len(raw) > maxDatagramBytes {
			t.Errorf("a datagram has %d bytes, want at most 1400", len(raw))
		}
		got, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range got.Reports {
			seen[r.Key] = true
		}
	}
	if len(seen) != 300 {
		t.Errorf("got reports on %d servers, want 300", len(seen))
	}
}
