package gossip

import (
	"fmt"
	"net/netip"
	"testing"

	"bergamotpin.example/bergamotpin/edge/balancer"
)

// TestDataCentresTellEachOtherSums starts more instances than tell each other
// directly, in two data centres. Each has to hear the other one's sums, also
// after the speakers are gone, and what its own instances do from themselves.
func TestDataCentresTellEachOtherSums(t *testing.T) {
	const each = 10
	var nodes []*peerNode
	for n := range 2 * each {
		dataCentre := fmt.Sprint("dc", n%2)
		name := fmt.Sprint("node", n)
		if n == 0 {
			nodes = append(nodes, startNodeIn(t, dataCentre, name, 0))
			continue
		}
		nodes = append(nodes, startNodeIn(t, dataCentre, name, 0, nodes[0].opts.Address))
	}
	hasDigest := func(n *peerNode) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		other := "dc0"
		if n.opts.DataCentre == other {
			other = "dc1"
		}
		got := n.digests[other]
		return len(got) == 1 && got[0].Key == 99 && got[0].Load.Running == 12
	}
	for _, n := range nodes {
		await(t, "all live at "+n.opts.Name, func() bool { return n.live() == 2*each })
		await(t, "the other data centre's sums at "+n.opts.Name, func() bool { return hasDigest(n) })
	}
	var left []*peerNode
	for _, n := range nodes {
		n.Node.mu.Lock()
		speaks := n.speaksTo() != nil
		n.Node.mu.Unlock()
		if speaks {
			n.end()
			continue
		}
		left = append(left, n)
	}
	if len(left) != 2*(each-speakers) {
		t.Fatalf("%d of %d instances don't speak", len(left), 2*each)
	}
	for _, n := range left {
		n.mu.Lock()
		clear(n.digests)
		n.mu.Unlock()
	}
	for _, n := range left {
		await(t, "sums by new speakers at "+n.opts.Name, func() bool { return hasDigest(n) })
	}
	if _, known := left[0].CountInstances(); known != 2*each {
		t.Errorf("%d instances are known, want %d: the silent ones may be cut off", known, 2*each)
	}
}

func TestDigestOfManyServersIsSplit(t *testing.T) {
	m := message{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), Digest: true}
	for n := range 300 {
		m.Reports = append(m.Reports, balancer.ServerReport{Key: uint64(n+1) << 40, Load: balancer.Load{Running: 9, Unread: 99999}})
	}
	datagrams, err := encodeAll(m)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[uint64]bool)
	for _, raw := range datagrams {
		if len(raw) > maxDatagramBytes {
			t.Errorf("a datagram of %d bytes", len(raw))
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
		t.Errorf("%d of 300 servers arrived", len(seen))
	}
}
