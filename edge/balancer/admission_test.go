package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
)

// TestAdmitRefusesOnlyLongPromptsThatWouldBeLate sends long prompts to one
// engine until a prompt is refused. A short prompt must still be admitted. A
// long prompt must be admitted if a second engine is idle.
func TestAdmitRefusesOnlyLongPromptsThatWouldBeLate(t *testing.T) {
	balancer := newBalancer()
	long := Request{Service: engineService, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000}
	short := Request{Service: engineService, LatencyTarget: 300 * time.Millisecond, PromptTokens: 1400}
	admitted := 0
	for range 20 {
		a, _ := balancer.Choose(long, newServers("a"), startTime)
		reason, retryAfter := balancer.Admit(long, &a, startTime)
		if reason != outcome.ReasonNone {
			if retryAfter < minRetryAfter/2 || retryAfter > 2*maxRetryAfter {
				t.Errorf("got a Retry-After time of %v, want between half of minRetryAfter and twice maxRetryAfter", retryAfter)
			}
			break
		}
		balancer.BeginAttempt(&a, long, startTime)
		admitted++
	}
	// The prefill of 17,000 tokens takes 300 ms, so four prompts fit into the
	// limit of 1.275 s.
	if admitted < 3 || admitted > 5 {
		t.Errorf("%d long prompts were admitted before the first refusal, want 3 to 5", admitted)
	}
	a, _ := balancer.Choose(short, newServers("a"), startTime)
	if reason, _ := balancer.Admit(short, &a, startTime); reason != outcome.ReasonNone {
		t.Error("a short prompt was refused, want it admitted since it needs almost no prefill time")
	}
	a, _ = balancer.Choose(long, newServers("a", "b"), startTime)
	if reason, _ := balancer.Admit(long, &a, startTime); reason != outcome.ReasonNone || a.Server.ID != "b" {
		t.Error("a long prompt was refused or sent to busy server a, want it admitted at idle server b")
	}
}

// TestRetryAfterIsJittered checks that requests refused at the same time get
// different Retry-After times.
func TestRetryAfterIsJittered(t *testing.T) {
	balancer := newBalancer()
	long := Request{Service: engineService, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000}
	for range 8 {
		chooseAndBegin(t, balancer, long, startTime, newServer("a"))
	}
	shortest, longest := time.Hour, time.Duration(0)
	for range 100 {
		a, _ := balancer.Choose(long, newServers("a"), startTime)
		reason, retryAfter := balancer.Admit(long, &a, startTime)
		if reason != outcome.Infeasible {
			// An admitted request has no Retry-After time to check. The
			// failure text means that the request was admitted.
			t.Fatal("taken")
		}
		shortest, longest = min(shortest, retryAfter), max(longest, retryAfter)
	}
	if longest-shortest < shortest/4 {
		t.Errorf("got Retry-After times from %v to %v, want the longest at least a quarter longer than the shortest", shortest, longest)
	}
}

// TestChooseAvoidsEngineWithFullMemory fills the memory of one of two engines
// with requests whose answers are already being generated. No prompt is queued
// at this engine, but new requests must go to the other engine.
func TestChooseAvoidsEngineWithFullMemory(t *testing.T) {
	balancer := newBalancer()
	big := Request{Service: engineService, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 20000, AnswerTokens: 1000}
	for range 28 {
		a := chooseAndBegin(t, balancer, big, startTime, newServer("a"))
		balancer.RecordFirstEvent(a, startTime.Add(a.ExpectedDelay))
	}
	for range 3 {
		if a := chooseAndBegin(t, balancer, big, startTime, newServers("a", "b")...); a.Server.ID != "b" {
			t.Error("a request was sent to engine a, whose memory is full, want engine b")
		}
	}
}

// TestUnreachableDataCentreIsProbedByOneRequestAtATime has a service with one
// server, in another data centre that becomes unreachable. Only one request at
// a time may be admitted as a probe. Otherwise every caller would wait for a
// timeout.
func TestUnreachableDataCentreIsProbedByOneRequestAtATime(t *testing.T) {
	balancer := newBalancer()
	remote := newServer("a")
	remote.DataCentre = "dc1"
	call := Request{Service: catalog.Service{Name: "s"}, LatencyTarget: 100 * time.Millisecond}
	balancer.RecordContact("dc1", startTime)
	unanswered := chooseAndBegin(t, balancer, call, startTime, remote)
	later := startTime.Add(time.Second)
	admitted := func() bool {
		a, _ := balancer.Choose(call, []catalog.BackendServer{remote}, later)
		reason, _ := balancer.Admit(call, &a, later)
		return reason == outcome.ReasonNone
	}
	if !admitted() {
		t.Error("before any request ended without a response: a request was refused, want it admitted")
	}
	balancer.EndAttempt(unanswered, NoResponse, later)
	if !admitted() {
		t.Error("after a request ended without a response: the next request was refused, want it admitted as a probe")
	}
	probe := chooseAndBegin(t, balancer, call, later, remote)
	if admitted() {
		t.Error("while a probe is running: another request was admitted, want it refused")
	}
	balancer.EndAttempt(probe, Succeeded, later)
	if !admitted() {
		t.Error("after the probe got a response: a request was refused, want it admitted")
	}
}

// TestAdmitTakesHugePromptOnIdleEngine has a prompt whose prefill alone takes
// longer than the refusal limit. The prompt would be just as late after a
// retry, so it must be admitted.
func TestAdmitTakesHugePromptOnIdleEngine(t *testing.T) {
	balancer := newBalancer()
	huge := Request{Service: engineService, LatencyTarget: 600 * time.Millisecond, PromptTokens: 60000}
	a, _ := balancer.Choose(huge, newServers("a"), startTime)
	if reason, _ := balancer.Admit(huge, &a, startTime); reason != outcome.ReasonNone {
		t.Errorf("a huge prompt was refused with reason %v at an idle engine, want it admitted", reason)
	}
}

// TestRetryAfterIsLongerIfAllServersAreOverloaded overloads one of two servers,
// and later both. The Retry-After time may depend on the caller's remaining
// time only if both servers are overloaded.
func TestRetryAfterIsLongerIfAllServersAreOverloaded(t *testing.T) {
	balancer := newBalancer()
	long := Request{
		Service: engineService, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000, TimeLeft: 9 * time.Second,
		PrefixBlocks: []PrefixBlock{{1, 13000}, {2, 4000}},
	}
	attempt := chooseAndBegin(t, balancer, long, startTime, newServer("a"))
	balancer.RecordFirstEvent(attempt, startTime.Add(attempt.ExpectedDelay))
	overload := func(id string) {
		for range 6 {
			chooseAndBegin(t, balancer, Request{Service: engineService, PromptTokens: 17000}, startTime, newServer(id))
		}
	}
	refusedRetryAfter := func() time.Duration {
		a, _ := balancer.Choose(long, newServers("a", "b"), startTime)
		reason, retryAfter := balancer.Admit(long, &a, startTime)
		if a.Server.ID != "a" || reason != outcome.Infeasible {
			t.Fatalf("got server %s with reason %v, want server a with reason infeasible", a.Server.ID, reason)
		}
		return retryAfter
	}
	overload("a")
	if got := refusedRetryAfter(); got > maxRetryAfter*5/4 || got < minRetryAfter/2 {
		t.Errorf("got a Retry-After time of %v while server b is idle, want between 0.2 s and 3.75 s", got)
	}
	overload("b")
	for range 20 {
		// A caller waits at most a third of its remaining nine seconds.
		if got := refusedRetryAfter(); got < 1500*time.Millisecond || got > 3*time.Second {
			t.Errorf("got a Retry-After time of %v while both servers are overloaded, want between 1.5 s and 3 s", got)
		}
	}
}
