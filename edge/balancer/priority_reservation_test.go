package balancer

import (
	"slices"
	"testing"
)

// TestReservationByPriorityIndex checks how many of twenty engines the requests
// of each priority may use. No engine may be reserved if there are few engines
// or if the service runs no language model.
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
			t.Errorf("priority index %d of %d levels: got %d usable engines, want %d", c.priorityIndex, c.levels, got, c.want)
		}
	}
	if got := reserveEngines(Request{Service: engineService, PriorityIndex: 1, PriorityLevels: 2}, keys[:minReservationEngines-1]); got != nil {
		t.Errorf("fewer engines than minReservationEngines: got reservation %v, want none", got)
	}
	plainRequest := Request{PriorityIndex: 1, PriorityLevels: 2}
	if got := reserveEngines(plainRequest, keys); got != nil {
		t.Errorf("service without a language model: got reservation %v, want none", got)
	}
}

// TestReservedEngineIsChosenOnlyIfNoOtherIsLeft has a request of the least
// urgent priority. If a reserved engine is the only candidate, the
// request must go there. If all engines are candidates, the request must go to
// an engine that is not reserved.
func TestReservedEngineIsChosenOnlyIfNoOtherIsLeft(t *testing.T) {
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
				t.Errorf("a reserved engine is the only candidate: Choose returned attempt %+v and %v, want an attempt at this engine and true", a, ok)
			}
		}
	}
	a, _ := balancer.Choose(r, servers, startTime)
	if i := slices.Index(keys, a.Key); reserved.excludes(i, 1) {
		t.Error("all engines are candidates: a reserved engine was chosen, want another one")
	}
}
