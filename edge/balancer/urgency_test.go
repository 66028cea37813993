package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
)

var (
	urgentPrompt = Request{
		Service: engineService, LatencyTarget: 600 * time.Millisecond, PromptTokens: 9000, TimeLeft: 5 * time.Second,
		Urgency: catalog.Urgency{OrganisationPriority: 1, RoutePriority: 1},
	}
	lessUrgentPrompt = Request{
		Service: engineService, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000, TimeLeft: 10 * time.Second,
		Urgency: catalog.Urgency{OrganisationPriority: 1, RoutePriority: 2},
	}
)

// queue has a peer report that prompts with so many tokens are queued at each server.
func queue(b *Balancer, tokens map[string]int, now time.Time) {
	var reports []ServerReport
	for id, n := range tokens {
		reports = append(reports, ServerReport{Key: ServerKey(newServer(id)), Load: Load{Running: 1, Waiting: 1, PrefillTokens: n}})
	}
	b.ReceiveReports("queues", "dc0", reports, now)
}

// reportLate has a peer report that half of its requests like r are late.
func reportLate(b *Balancer, r Request, now time.Time) {
	b.ReceiveReports("late", "dc0", nil, now)
	key := urgencyKeyOf(r)
	b.ReceiveUrgencyReports("late", []UrgencyReport{{
		Service: key.service, OrganisationPriority: r.Urgency.OrganisationPriority, RoutePriority: r.Urgency.RoutePriority,
		Requests: toHundredths(40), Late: toHundredths(20), Target: toMillis(r.LatencyTarget),
	}})
}

func chooseAndAdmit(b *Balancer, r Request, now time.Time, ids ...string) (Attempt, outcome.Reason) {
	a, _ := b.Choose(r, newServers(ids...), now)
	reason, _ := b.Admit(r, &a, now)
	return a, reason
}

// TestUrgentIsNotRefusedAtDelayOfLessUrgent guards against refusals of an urgent prompt
// by its own target while a larger, less urgent one is sent to the same queue.
func TestUrgentIsNotRefusedAtDelayOfLessUrgent(t *testing.T) {
	balancer := newBalancer()
	queue(balancer, map[string]int{"a": 45_000}, startTime)
	if _, reason := chooseAndAdmit(balancer, urgentPrompt, startTime, "a"); reason != outcome.Infeasible {
		t.Fatalf("before any less urgent request: got reason %v, want infeasible", reason)
	}
	if _, reason := chooseAndAdmit(balancer, lessUrgentPrompt, startTime, "a"); reason != outcome.ReasonNone {
		t.Fatalf("the less urgent request: got reason %v, want it admitted", reason)
	}
	if _, reason := chooseAndAdmit(balancer, urgentPrompt, startTime, "a"); reason != outcome.ReasonNone {
		t.Errorf("after a less urgent request was admitted: got reason %v, want the urgent one admitted", reason)
	}
	later := startTime.Add(2 * admittedDelayPeriod)
	queue(balancer, map[string]int{"a": 45_000}, later)
	if _, reason := chooseAndAdmit(balancer, urgentPrompt, later, "a"); reason != outcome.Infeasible {
		t.Errorf("long after the last less urgent request: got reason %v, want infeasible", reason)
	}
}

// TestLessUrgentIsHeldBackWhileUrgentAreLate guards against queues that less urgent
// prompts keep too long for the urgent ones, also if only a peer has seen those.
func TestLessUrgentIsHeldBackWhileUrgentAreLate(t *testing.T) {
	balancer := newBalancer()
	queue(balancer, map[string]int{"a": 30_000}, startTime)
	if _, reason := chooseAndAdmit(balancer, lessUrgentPrompt, startTime, "a"); reason != outcome.ReasonNone {
		t.Fatalf("before any request is late: got reason %v, want it admitted", reason)
	}
	reportLate(balancer, urgentPrompt, startTime)
	a, reason := chooseAndAdmit(balancer, lessUrgentPrompt, startTime, "a")
	if reason != outcome.HeldBack || a.HeldBackFor != urgentPrompt.LatencyTarget {
		t.Errorf("while urgent requests are late: got reason %v, held back for a target of %v; want held_back and 600 ms", reason, a.HeldBackFor)
	}
	other := lessUrgentPrompt
	other.Urgency = catalog.Urgency{OrganisationPriority: 0, RoutePriority: 2}
	if _, reason := chooseAndAdmit(balancer, other, startTime, "a"); reason != outcome.ReasonNone {
		t.Errorf("a request of a more urgent organisation: got reason %v, want it admitted", reason)
	}
	later := startTime.Add(reportTimeout + time.Millisecond)
	balancer.ExpireReports(later)
	queue(balancer, map[string]int{"a": 30_000}, later)
	if _, reason := chooseAndAdmit(balancer, lessUrgentPrompt, later, "a"); reason != outcome.ReasonNone {
		t.Errorf("after the peer fell silent: got reason %v, want it admitted", reason)
	}
}

// TestUrgentMovesToServerThatAdmitsIt guards against refusals of an urgent prompt that
// prefers a server with a long queue because of its cache.
func TestUrgentMovesToServerThatAdmitsIt(t *testing.T) {
	balancer := newBalancer()
	r := urgentPrompt
	r.PrefixBlocks = []PrefixBlock{{1, 6500}, {2, 2500}}
	cached := chooseAndBegin(t, balancer, r, startTime, newServer("a"))
	balancer.RecordFirstEvent(cached, startTime.Add(cached.ExpectedDelay))
	queue(balancer, map[string]int{"a": 90_000, "b": 50_000}, startTime)
	if a, _ := balancer.Choose(r, newServers("a", "b"), startTime); a.Server.ID != "a" {
		t.Fatalf("got server %s, want server a, which has the prefix cached", a.Server.ID)
	}
	if _, reason := chooseAndAdmit(balancer, lessUrgentPrompt, startTime, "b"); reason != outcome.ReasonNone {
		t.Fatalf("the less urgent request: got reason %v, want it admitted at server b", reason)
	}
	a, reason := chooseAndAdmit(balancer, r, startTime, "a", "b")
	if reason != outcome.ReasonNone || a.Server.ID != "b" {
		t.Errorf("got server %s and reason %v, want the request admitted at server b", a.Server.ID, reason)
	}
}

// TestLateShortPromptsHoldBackLessUrgent guards against short urgent prompts that are
// admitted but late, behind less urgent ones that go on being admitted.
func TestLateShortPromptsHoldBackLessUrgent(t *testing.T) {
	balancer := newBalancer()
	queue(balancer, map[string]int{"a": 20_000}, startTime)
	short := Request{
		Service: engineService, LatencyTarget: 300 * time.Millisecond, PromptTokens: 1400, Urgency: catalog.Urgency{OrganisationPriority: 1},
	}
	for range 10 {
		if _, reason := chooseAndAdmit(balancer, short, startTime, "a"); reason != outcome.ReasonNone {
			t.Fatalf("a short prompt: got reason %v, want it admitted", reason)
		}
	}
	if _, reason := chooseAndAdmit(balancer, lessUrgentPrompt, startTime, "a"); reason != outcome.HeldBack {
		t.Errorf("while short urgent prompts are late: got reason %v for a less urgent one, want held_back", reason)
	}
}
