package balancer

import (
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// TestInstancesStayWithServersTheyAreConnectedTo guards against a new connection for almost every
// request where each of many instances uses each server rarely: an instance sends two short
// requests a second to one of 60 servers, and servers keep idle connections for 9 s. It also guards
// against staying with a server that has become busy.
func TestInstancesStayWithServersTheyAreConnectedTo(t *testing.T) {
	b, now := New(Options{Seed: 1}), time.Unix(1_000_000, 0)
	b.SetInstances(65)
	servers := make([]catalog.BackendServer, 60)
	for i := range servers {
		servers[i] = catalog.BackendServer{ID: fmt.Sprint("s", i), Service: "m", Slots: 64}
	}
	r := Request{
		Service:       catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 3},
		LatencyTarget: 400 * time.Millisecond, PromptTokens: 1110, AnswerTokens: 170,
	}
	used := make(map[uint64]int)
	for range 100 {
		a, _ := b.Choose(r, servers, now)
		used[a.Key]++
		b.BeginAttempt(&a, r, now)
		now = now.Add(500 * time.Millisecond)
		b.RecordFirstEvent(&a, now)
		a.ConnectionKept = 9 * time.Second
		b.EndAttempt(&a, Succeeded, now)
	}
	if len(used) > 10 {
		t.Errorf("100 requests went to %d servers, want at most 10", len(used))
	}
	for key := range used {
		b.ReceiveReports("busy", "", []ServerReport{{Key: key, Load: Load{Running: 60, Waiting: 20, PrefillTokens: 40_000}}}, now)
		if a, _ := b.Choose(r, servers, now); a.Key == key {
			t.Errorf("a request went to server %x although it is busy and others are idle", key)
		}
	}
}
