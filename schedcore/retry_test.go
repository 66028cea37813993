package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

func TestNonIdempotentRequestIsNotRetriedOnceItMayHaveStarted(t *testing.T) {
	for _, notStarted := range []bool{true, false} {
		h := newHarness(t, Options{}, poolConfig(1, 1))
		h.submit(1, "batch", func(t *Ticket) { t.Idempotent = false })
		server := h.tick(0).Grants[0].Server
		h.failAll(server, outcome.ServerUnreachable, notStarted)
		out := h.tick(time.Millisecond)
		if notStarted && len(out.Grants) != 1 {
			t.Error("the request was not granted again, want a second grant because the server had not started it")
		}
		if !notStarted && (len(out.Refusals) != 1 || out.Refusals[0].Final != outcome.Unknown) {
			t.Errorf("refusals %+v after a failed attempt that the server may have started, want one refusal with outcome unknown", out.Refusals)
		}
	}
}

func TestCutStreamContinuesOnAnotherServer(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(2, 2))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	h.in.Failures = append(h.in.Failures, Failure{ID: g.ID, Attempt: g.Attempt, Reason: outcome.StreamCut, Delivered: 7})
	out := h.tick(time.Millisecond)
	if len(out.Grants) != 1 {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	retry := out.Grants[0]
	if !retry.Continue || retry.Attempt != g.Attempt+1 || retry.Reason != outcome.StreamCut {
		t.Errorf("retry granted as %+v, want Continue true, the next attempt number and the reason of the cut stream", retry)
	}
	if retry.Server == g.Server {
		t.Error("the retry was granted on the server that failed, want the other server")
	}
}

// Duplicate progress reports make the core count tokens that the caller never
// received. The failure report says that no token was delivered, so the retry
// must generate the whole answer.
func TestFailureCorrectsTheDeliveredTokens(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(2, 2))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	p := Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 5, Gap: time.Millisecond}
	h.in.Progress = append(h.in.Progress, p, p)
	h.tick(time.Millisecond)
	h.failAll(g.Server, outcome.StreamCut, false)
	if retry := h.tick(time.Millisecond).Grants[0]; retry.Continue {
		t.Error("the retry was granted with Continue set, want it unset because the caller has no token")
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, Options{MaxAttempts: 2}, poolConfig(8, 8))
	h.submit(1, "batch")
	server := h.tick(0).Grants[0].Server
	h.failAll(server, outcome.ServerError, false)
	server = h.tick(time.Millisecond).Grants[0].Server
	h.failAll(server, outcome.ServerError, false)
	out := h.tick(time.Millisecond)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != outcome.AttemptsSpent {
		t.Errorf("refusals %+v, want one with reason AttemptsSpent", out.Refusals)
	}
}

// Every attempt fails. MaxAttempts is too high to stop the retries, so each
// class must stop at its own retry budget.
func TestRetryBudgetIsSpentPerClass(t *testing.T) {
	h := newHarness(t, Options{MaxAttempts: 1000}, poolConfig(100, 100))
	h.submit(100, "batch")
	h.submit(1, "urgent")
	h.tick(0)
	spent := 0
	for range 10 {
		h.failAll("s0", outcome.ServerError, false)
		h.failAll("s1", outcome.ServerError, false)
		for _, r := range h.tick(time.Millisecond).Refusals {
			if r.Reason == outcome.RetryBudgetSpent {
				spent++
			}
		}
	}
	if retries := h.core.Stats().Retries.Of(outcome.ServerError); retries > 2*retryBurst {
		t.Errorf("%d retries of both classes together, want at most %d for each of the two classes", retries, retryBurst)
	}
	if spent < 50 {
		t.Errorf("%d requests refused because the retry budget was spent, want at least 50", spent)
	}
}
