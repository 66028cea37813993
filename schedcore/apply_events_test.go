package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

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
	h.in.Completions = append(h.in.Completions, Completion{ID: id, Attempt: 1, PromptTokens: 10, Tokens: 500})
	h.tick(time.Millisecond)
	if h.core.pool.hold.weight != 0 {
		t.Errorf("learnt that 500 tokens take %v s", h.core.pool.hold.value)
	}
}

func TestLostEndFreesItsSlot(t *testing.T) {
	opts := Options{RunningTimeout: time.Minute}
	h := newHarness(t, opts, poolOf(1))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	h.tick(50 * time.Second)
	h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt})
	h.tick(time.Second)
	if out := h.tick(50 * time.Second); len(out.Refusals) != 0 {
		t.Fatal("expired although it was heard of")
	}
	wake, ok := h.core.NextWakeup()
	if want := h.now + 10*time.Second; !ok || wake != want {
		t.Errorf("next wake at %v, want %v", wake, want)
	}
	out := h.tick(10 * time.Second)
	if len(out.Refusals) != 1 || out.Refusals[0].Final != outcome.Unknown || !h.core.Idle() {
		t.Errorf("refusals %+v, want an unknown end and a free slot", out.Refusals)
	}
	if _, ok := h.core.NextWakeup(); ok {
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
