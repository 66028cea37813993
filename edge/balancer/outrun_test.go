package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// TestOutrunServerIsAvoided guards against a server that keeps requests hanging and is never
// found out, because second attempts end its attempts before they count as failures, and
// against a sound server that is avoided for one lost race.
func TestOutrunServerIsAvoided(t *testing.T) {
	b := New(Options{DataCentre: "dc0"})
	now := time.Unix(1_700_000_000, 0)
	servers := []catalog.BackendServer{
		{ID: "hangs", DataCentre: "dc0", Slots: 8}, {ID: "sound", DataCentre: "dc0", Slots: 8},
	}
	r := Request{Service: catalog.Service{Name: "s"}, LatencyTarget: 300 * time.Millisecond}
	end := func(server catalog.BackendServer, result AttemptResult) {
		a, _ := b.Choose(r, []catalog.BackendServer{server}, now)
		b.BeginAttempt(&a, r, now)
		now = now.Add(100 * time.Millisecond)
		b.EndAttempt(&a, result, now)
	}
	for range 20 {
		end(servers[1], Succeeded)
	}
	end(servers[1], Outrun)
	if got := b.servers[ServerKey(servers[1])].currentHealth(now); got != Healthy {
		t.Errorf("a server that was outrun once of 21 times is %v, want trusted", got)
	}
	for range 6 {
		end(servers[0], Outrun)
	}
	if got := b.servers[ServerKey(servers[0])].currentHealth(now); got != Failing {
		t.Errorf("a server that was always outrun is %v, want failing", got)
	}
	if a, _ := b.Choose(r, servers, now); a.Server.ID != "sound" {
		t.Error("the server that was always outrun is chosen again")
	}
}
