package balancer

import (
	"math"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// Guards against a load that is taken for another: of another service, of instances whose rate is
// unknown, or of prompts that caches hold.
func TestServiceDemand(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := New(Options{DataCentre: "a"})
	service := catalog.Service{Name: "m", Slots: 24, MemoryTokens: 600_000, Autoscale: &catalog.Autoscale{}}
	server := catalog.BackendServer{ID: "i-1", Service: "m", DataCentre: "a", Slots: 24}
	key := ServerKey(server)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		a := Attempt{Server: server, Key: key, CachedTokens: 900}
		b.BeginAttempt(&a, Request{Service: service, PromptTokens: 1000, PriorityLevels: 1}, now)
	}
	b.ReceiveReports("p", "a", []ServerReport{{Key: key, Load: Load{Running: 50}}, {Key: 77, Load: Load{Running: 9}}}, now)
	b.ReceivePrefillReports("p", []PrefillReport{{Service: serviceHash("m"), TokensPerSecond: 500}, {Service: 1, TokensPerSecond: 9}})
	b.ReceiveReports("older build", "a", []ServerReport{{Key: key, Load: Load{Running: 50}}}, now)
	d := b.ServiceDemand("m", []uint64{key, 78}, now)
	if math.Abs(d.PrefillPerSecond-2500) > 200 || d.PrefillRunning != 150 || d.Load.Running != 200 {
		t.Errorf("got %.0f tokens a second for %d of %d running requests, want 2500 for 150 of 200", d.PrefillPerSecond, d.PrefillRunning, d.Load.Running)
	}
	if len(d.Delivers) != 2 || d.Delivers[1] != 1 {
		t.Errorf("servers deliver %v", d.Delivers)
	}
}
