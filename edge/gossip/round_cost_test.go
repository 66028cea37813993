package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// simulatedNode returns a node that knows the given number of instances, all live, in six data
// centres.
func simulatedNode(instances int) *Node {
	now := time.Now()
	var others []member
	for n := range instances {
		others = append(others, member{DataCentre: fmt.Sprint("dc", n%6), Live: true, LastReceived: now, StoreResponseAt: now.Add(-time.Hour)})
	}
	n := relayNode()
	n.opts.Name = "self"
	n.nameHash = xxhash.Sum64String(n.opts.Name)
	for k, m := range others {
		m.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(k >> 8), byte(k)}), 1)
		m.Name = fmt.Sprint("node", k)
		m.nameHash = xxhash.Sum64String(m.Name)
		n.members.all[m.Address] = &m
	}
	return n
}

// round does what a round does apart from datagrams, reports and the catalog, and what is asked of
// the members beside it.
func (n *Node) round(now time.Time) {
	n.sequence++
	n.planRound(time.Hour)
	n.members.expire(now)
	n.members.knownAddresses(n.sequence, maxKnown)
	n.members.knownAddresses(n.sequence, maxKnownRemote)
	n.CountInstances()
	n.ShouldWatchStore(now)
	n.ShouldWatchStore(now)
}

// TestRoundSortsAllInstancesAgainAndAgain guards against rounds whose garbage grows with the number
// of instances: at hundreds of them the collector took a quarter of the processor time.
func TestRoundSortsAllInstancesAgainAndAgain(t *testing.T) {
	for _, instances := range []int{200, 400} {
		n := simulatedNode(instances)
		now := time.Now()
		n.round(now)
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				n.round(now)
			}
		})
		// The recipients of a round are a slice of 24 bytes each.
		limit := int64(2000 + 8*instances)
		t.Logf("%d instances: %v a round, %d bytes", instances, time.Duration(result.NsPerOp()), result.AllocedBytesPerOp())
		if got := result.AllocedBytesPerOp(); got > limit {
			t.Errorf("a round at %d instances allocates %d bytes, want at most %d", instances, got, limit)
		}
	}
}

// TestEachRoundReachesMostInstances guards against a number of datagrams that grows with the square
// of the instances: receiving them took most of the processor time at 195. Every other instance
// still hears of this one often enough to count it as live.
func TestEachRoundReachesMostInstances(t *testing.T) {
	for instances, limit := range map[int]int{200: 35, 400: 68} {
		n := simulatedNode(instances)
		order := n.members.ordered()
		received := make(map[netip.AddrPort]int)
		sent := 0
		rounds := int(LiveTimeout / interval)
		for range rounds {
			n.sequence++
			p := n.planRound(time.Hour)
			sent += len(p.complete) + len(p.withoutReports)
			for _, a := range append(p.complete, p.withoutReports...) {
				received[a]++
			}
		}
		if perRound := sent / rounds; perRound > limit {
			t.Errorf("%d instances: %d datagrams a round, want at most %d", instances, perRound, limit)
		}
		for _, a := range order.local {
			if received[a] < 3 {
				t.Errorf("%d instances: one of the same data centre got %d datagrams in %v, want 3 or more", instances, received[a], LiveTimeout)
			}
		}
		for _, a := range order.remote {
			if received[a] < 1 {
				t.Errorf("%d instances: one of another data centre got none in %v", instances, LiveTimeout)
			}
		}
	}
}
