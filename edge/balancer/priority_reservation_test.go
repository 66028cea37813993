package balancer

import (
	"slices"
	"testing"
)

// TestReservationByPriorityIndex checks how many of twenty engines the requests
// of each priority may use, and that none are reserved if there are few engines
// or the service runs no language model.
func TestReservationByPriorityIndex(t *testing.T) {
	keys := make([]uint64, 20)
	for i := range keys {
		keys[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	countUsable := func(priorityIndex, levels int) int {
		r := Request{Service: engineService, PriorityIndex: priorityIndex, PriorityLevels: levels}
		reserved := reserveEngines(r, keys)
		n := 0
		for i := range keys {
			if !reserved.excludes(i, priorityIndex) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct{ priorityIndex, levels, want int }{
		{0, 1, 20}, {0, 2, 20}, {1, 2, 14}, {0, 3, 20}, {1, 3, 17}, {2, 3, 14},
	} {
		if got := countUsable(c.priorityIndex, c.levels); got != c.want {
			t.Errorf("priority index %d of %d levels may use %d engines, want %d", c.priorityIndex, c.levels, got, c.want)
		}
	}
	if got := reserveEngines(Request{Service: engineService, PriorityIndex: 1, PriorityLevels: 2}, keys[:minReservationEngines-1]); got != nil {
		t.Errorf("engines were reserved although there are fewer than minReservationEngines: %v", got)
	}
	plainRequest := Request{PriorityIndex: 1, PriorityLevels: 2}
	if got := reserveEngines(plainRequest, keys); got != nil {
		t.Errorf("servers of a service that runs no language model were reserved: %v", got)
	}
}

// TestLeastUrgentUseReservedEnginesOnlyIfNoOtherIsLeft lets a request of the
// least urgent priority choose from a single engine that is reserved for more
// urgent requests, and then from all engines.
func TestLeastUrgentUseReservedEnginesOnlyIfNoOtherIsLeft(t *testing.T) {
	balancer := newBalancer()
	servers := newServers("a", "b", "c", "d", "e", "f", "g", "h")
	r := promptRequest
	r.PriorityIndex, r.PriorityLevels = 1, 2
	keys := make([]uint64, len(servers))
	for i, s := range servers {
		keys[i] = ServerKey(s)
	}
	reserved := reserveEngines(r, keys)
	for i, s := range servers {
		if reserved.excludes(i, 1) {
			if a, ok := balancer.Choose(r, servers[i:i+1], startTime); !ok || a.Server.ID != s.ID {
				t.Errorf("the only candidate was not chosen: attempt %+v, chosen %v", a, ok)
			}
		}
	}
	a, _ := balancer.Choose(r, servers, startTime)
	if i := slices.Index(keys, a.Key); reserved.excludes(i, 1) {
		t.Error("a request went to an engine reserved for more urgent ones")
	}
}
