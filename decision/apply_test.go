package decision

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

func TestRepeatedTicketsRunOnce(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(1, "batch")
	ticket := h.in.Tickets[0]
	h.in.Tickets = append(h.in.Tickets, ticket)
	grants := len(h.tick(0).Grants)
	h.in.Tickets = append(h.in.Tickets, ticket)
	grants += len(h.tick(time.Millisecond).Grants)
	h.end(10)
	h.tick(time.Millisecond)
	h.in.Tickets = append(h.in.Tickets, ticket)
	grants += len(h.tick(time.Millisecond).Grants)
	if grants != 1 {
		t.Errorf("%d grants for one request", grants)
	}
}

func TestTicketAfterItsWithdrawalDoesNotRun(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(1, "batch")
	ticket := h.in.Tickets[0]
	h.in.Reset()
	h.in.Withdrawals = append(h.in.Withdrawals, Withdrawal{ID: ticket.ID})
	h.tick(0)
	h.in.Tickets = append(h.in.Tickets, ticket)
	if out := h.tick(time.Millisecond); len(out.Grants) != 0 {
		t.Error("granted after its caller left")
	}
}

func TestClaimCountsAgainstTheServer(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(2))
	h.submit(2, "batch", func(t *Ticket) { t.Server, t.Attempt = "s0", 1 })
	h.submit(1, "batch")
	if out := h.tick(0); len(out.Grants) != 0 {
		t.Error("granted beyond the slots that are claimed")
	}
}

func TestClaimsTeachNoTimes(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(2))
	id := h.submit(1, "batch", func(t *Ticket) { t.Server, t.Attempt = "s0", 1 })
	h.tick(0)
	h.in.Ends = append(h.in.Ends, End{ID: id, Attempt: 1, PromptTokens: 10, Tokens: 500})
	h.tick(time.Millisecond)
	if h.core.pool.hold.weight != 0 {
		t.Errorf("learnt that 500 tokens take %v s", h.core.pool.hold.value)
	}
}

func TestLostEndFreesItsSlot(t *testing.T) {
	opts := Options{RunningLife: time.Minute}
	h := newHarness(t, opts, poolOf(1))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	h.tick(50 * time.Second)
	h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt})
	h.tick(time.Second)
	if out := h.tick(50 * time.Second); len(out.Refusals) != 0 {
		t.Fatal("expired although it was heard of")
	}
	wake, ok := h.core.NextWake()
	if want := h.now + 10*time.Second; !ok || wake != want {
		t.Errorf("next wake at %v, want %v", wake, want)
	}
	out := h.tick(10 * time.Second)
	if len(out.Refusals) != 1 || out.Refusals[0].Final != outcome.Unknown || !h.core.Idle() {
		t.Errorf("refusals %+v, want an unknown end and a free slot", out.Refusals)
	}
	if _, ok := h.core.NextWake(); ok {
		t.Error("an idle core wants to wake")
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	cfg := poolOf(2, 2)
	cfg.Servers[0].Drain = true
	h := newHarness(t, Options{}, cfg)
	h.submit(4, "batch")
	for _, g := range h.tick(0).Grants {
		if g.Server == "s0" {
			t.Error("granted to a server that drains")
		}
	}
}
