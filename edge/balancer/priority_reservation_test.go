package balancer

import (
	"slices"
	"testing"
)

// TestEnginesAreLeftToUrgentRequests checks who may use which of twenty engines.
func TestEnginesAreLeftToUrgentRequests(t *testing.T) {
	keys := make([]uint64, 20)
	for i := range keys {
		keys[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	usable := func(position, ranks int) int {
		r := Request{Service: engines, PriorityIndex: position, PriorityLevels: ranks}
		reserved := reserve(r, keys)
		n := 0
		for i := range keys {
			if !reserved.barred(i, position) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct{ position, ranks, want int }{
		{0, 1, 20}, {0, 2, 20}, {1, 2, 14}, {0, 3, 20}, {1, 3, 17}, {2, 3, 14},
	} {
		if got := usable(c.position, c.ranks); got != c.want {
			t.Errorf("position %d of %d ranks may use %d engines, want %d", c.position, c.ranks, got, c.want)
		}
	}
	if got := reserve(Request{Service: engines, PriorityIndex: 1, PriorityLevels: 2}, keys[:leastEngines-1]); got != nil {
		t.Errorf("a few engines are split: %v", got)
	}
	calls := Request{PriorityIndex: 1, PriorityLevels: 2}
	if got := reserve(calls, keys); got != nil {
		t.Errorf("servers without a model are split: %v", got)
	}
}

// TestLeastUrgentGoToReservedEnginesIfThereIsNoOther has only engines left that
// are for others.
func TestLeastUrgentGoToReservedEnginesIfThereIsNoOther(t *testing.T) {
	table := newTable()
	servers := serversOf("a", "b", "c", "d", "e", "f", "g", "h")
	r := prompt
	r.PriorityIndex, r.PriorityLevels = 1, 2
	keys := make([]uint64, len(servers))
	for i, s := range servers {
		keys[i] = ServerKey(s)
	}
	reserved := reserve(r, keys)
	for i, s := range servers {
		if reserved.barred(i, 1) {
			if a, ok := table.Choose(r, servers[i:i+1], begin); !ok || a.Server.ID != s.ID {
				t.Errorf("got %+v, %v", a, ok)
			}
		}
	}
	a, _ := table.Choose(r, servers, begin)
	if i := slices.Index(keys, a.Key); reserved.barred(i, 1) {
		t.Error("a long prompt went to an engine that is left to urgent ones")
	}
}
