package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

func TestDuplicateTicketsRunOnce(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(1, "batch")
	ticket := h.in.Tickets[0]
	h.in.Tickets = append(h.in.Tickets, ticket)
	grants := len(h.tick(0).Grants)
	h.in.Tickets = append(h.in.Tickets, ticket)
	grants += len(h.tick(time.Millisecond).Grants)
	h.completeAll(10)
	h.tick(time.Millisecond)
	h.in.Tickets = append(h.in.Tickets, ticket)
	grants += len(h.tick(time.Millisecond).Grants)
	if grants != 1 {
		t.Errorf("%d grants for one request, want 1", grants)
	}
}

func TestTicketAfterItsWithdrawalDoesNotRun(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(1, "batch")
	ticket := h.in.Tickets[0]
	h.in.Reset()
	h.in.Withdrawals = append(h.in.Withdrawals, Withdrawal{ID: ticket.ID})
	h.tick(0)
	h.in.Tickets = append(h.in.Tickets, ticket)
	if out := h.tick(time.Millisecond); len(out.Grants) != 0 {
		t.Error("a request was granted after its withdrawal, want no grant")
	}
}

func TestClaimedRequestOccupiesASlot(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(2))
	h.submit(2, "batch", func(t *Ticket) { t.Server, t.Attempt = "s0", 1 })
	h.submit(1, "batch")
	if out := h.tick(0); len(out.Grants) != 0 {
		t.Error("a request was granted while claimed requests used all slots, want no grant")
	}
}

// A claimed request started before the core received the claim. The time since
// the claim is therefore shorter than the time for which the request held its
// slot, so the core must not learn from it.
func TestClaimsDoNotChangeTheSlotTime(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(2))
	id := h.submit(1, "batch", func(t *Ticket) { t.Server, t.Attempt = "s0", 1 })
	h.tick(0)
	h.in.Completions = append(h.in.Completions, Completion{ID: id, Attempt: 1, PromptTokens: 10, Tokens: 500})
	h.tick(time.Millisecond)
	if h.core.estimates.slotSeconds.weight != 0 {
		t.Errorf("slot time of a claimed request was learned as %v s, want it ignored", h.core.estimates.slotSeconds.value)
	}
}

func TestSlotIsFreedWhenTheCompletionIsLost(t *testing.T) {
	opts := Options{RunningTimeout: time.Minute}
	h := newHarness(t, opts, poolConfig(1))
	h.submit(1, "batch")
	g := h.tick(0).Grants[0]
	h.tick(50 * time.Second)
	h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt})
	h.tick(time.Second)
	if out := h.tick(50 * time.Second); len(out.Refusals) != 0 {
		t.Fatal("the request expired within RunningTimeout of its last progress report, want it running")
	}
	wakeup, ok := h.core.NextWakeup()
	if want := h.now + 10*time.Second; !ok || wakeup != want {
		t.Errorf("next wakeup at %v, want %v", wakeup, want)
	}
	out := h.tick(10 * time.Second)
	if len(out.Refusals) != 1 || out.Refusals[0].Final != outcome.Unknown || !h.core.Idle() {
		t.Errorf("refusals %+v, want one with outcome unknown, and no running request", out.Refusals)
	}
	if _, ok := h.core.NextWakeup(); ok {
		t.Error("the core has a next wakeup although no request waits or runs, want none")
	}
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	cfg := poolConfig(2, 2)
	cfg.Servers[0].Draining = true
	h := newHarness(t, Options{}, cfg)
	h.submit(4, "batch")
	for _, g := range h.tick(0).Grants {
		if g.Server == "s0" {
			t.Error("a request was granted on a draining server, want no such grant")
		}
	}
}
