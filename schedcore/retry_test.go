package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

func TestNonIdempotentIsNotGrantedAgainOnceItMayHaveStarted(t *testing.T) {
	for _, notStarted := range []bool{true, false} {
		h := newHarness(t, Options{}, poolOf(1, 1))
		h.submit(1, "batch", func(t *Ticket) { t.Idempotent = false })
		server := h.tick(0).Grants[0].Server
		h.fail(server, outcome.ServerUnreachable, notStarted)
		out := h.tick(time.Millisecond)
		if notStarted && len(out.Grants) != 1 {
			t.Error("not granted again although the server did not start")
		}
		if !notStarted && (len(out.Refusals) != 1 || out.Refusals[0].Final != outcome.Unknown) {
			t.Errorf("refusals %+v, want one with an unknown end", out.Refusals)
		}
	}
}

func TestCutStreamContinuesOnAnotherServer(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(2, 2))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	h.in.Failures = append(h.in.Failures, Failure{ID: g.ID, Attempt: g.Attempt, Reason: outcome.StreamCut, Delivered: 7})
	out := h.tick(time.Millisecond)
	if len(out.Grants) != 1 {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	again := out.Grants[0]
	if !again.Continue || again.Attempt != g.Attempt+1 || again.Reason != outcome.StreamCut {
		t.Errorf("granted again as %+v", again)
	}
	if again.Server == g.Server {
		t.Error("granted again on the server that failed")
	}
}

// TestFailureCorrectsTheDeliveredTokens repeats a report of progress and then
// fails the attempt before the caller had a token.
func TestFailureCorrectsTheDeliveredTokens(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(2, 2))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	p := Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 5, Gap: time.Millisecond}
	h.in.Progress = append(h.in.Progress, p, p)
	h.tick(time.Millisecond)
	h.fail(g.Server, outcome.StreamCut, false)
	if again := h.tick(time.Millisecond).Grants[0]; again.Continue {
		t.Error("continued after tokens that the caller does not have")
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, Options{MaxAttempts: 2}, poolOf(8, 8))
	h.submit(1, "batch")
	server := h.tick(0).Grants[0].Server
	h.fail(server, outcome.ServerError, false)
	server = h.tick(time.Millisecond).Grants[0].Server
	h.fail(server, outcome.ServerError, false)
	out := h.tick(time.Millisecond)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != outcome.AttemptsSpent {
		t.Errorf("refusals %+v, want spent attempts", out.Refusals)
	}
}

func TestRetryBudgetIsSpentPerClass(t *testing.T) {
	h := newHarness(t, Options{MaxAttempts: 1000}, poolOf(100, 100))
	h.submit(100, "batch")
	h.submit(1, "urgent")
	h.tick(0)
	spent := 0
	for range 10 {
		h.fail("s0", outcome.ServerError, false)
		h.fail("s1", outcome.ServerError, false)
		for _, r := range h.tick(time.Millisecond).Refusals {
			if r.Reason == outcome.RetryBudgetSpent {
				spent++
			}
		}
	}
	if retries := h.core.Stats().Retries.Of(outcome.ServerError); retries > 2*retryBurst {
		t.Errorf("%d retries, want at most %d for each class", retries, retryBurst)
	}
	if spent < 50 {
		t.Errorf("%d requests refused for a spent budget", spent)
	}
}
