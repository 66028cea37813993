package balancer

import (
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// Guards against memory that grows with each service that a configuration ever named.
func TestServicesThatAreGoneAreForgotten(t *testing.T) {
	b, now := New(Options{}), time.Unix(1_000_000, 0)
	for n := range 100 {
		service := catalog.Service{Name: fmt.Sprint(n), Slots: 64, MemoryTokens: 600_000, EventTokens: 3, Autoscale: &catalog.Autoscale{}}
		server := catalog.BackendServer{ID: "s", Service: service.Name, Slots: 64}
		a := &Attempt{Server: server, Key: ServerKey(server), grouped: true}
		b.BeginAttempt(a, Request{Service: service, PromptTokens: 1000}, now)
		b.RecordFirstEvent(a, now)
		b.RecordEvent(a, now.Add(20*time.Millisecond))
		b.EndAttempt(a, Succeeded, now)
	}
	b.RetainServices(func(name string) bool { return name == "7" })
	b.PrefillReports(now.Add(time.Minute))
	if len(b.steps) != 1 || len(b.prefills) != 1 || len(b.prefillRates) != 0 {
		t.Errorf("got %d, %d and %d services, want 1, 1 and 0", len(b.steps), len(b.prefills), len(b.prefillRates))
	}
}
