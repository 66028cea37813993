package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// newFullPool returns a harness whose pool runs urgent requests in all slots.
func newFullPool(t *testing.T) *harness {
	h := newHarness(t, Options{}, poolConfig(4))
	h.runSteadyLoad(100, 50*time.Millisecond, 4, "urgent")
	h.submit(4, "urgent")
	h.tick(50 * time.Millisecond)
	return h
}

func TestReferralUntilTheFreeCapacityReportExpires(t *testing.T) {
	h := newFullPool(t)
	h.in.FreeCapacities = append(h.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: 3, Lifetime: time.Second})
	h.submit(200, "urgent")
	out := h.tick(time.Millisecond)
	if len(out.Referrals) != 3 || len(out.Refusals) == 0 {
		t.Errorf("%d referrals, %d refusals; want 3 referrals and at least 1 refusal", len(out.Referrals), len(out.Refusals))
	}
	h.in.FreeCapacities = append(h.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: 3, Lifetime: time.Second})
	h.tick(time.Millisecond)
	h.submit(200, "urgent")
	if out := h.tick(1100 * time.Millisecond); len(out.Referrals) != 0 {
		t.Error("a request was referred after the free-capacity report had expired, want no referral")
	}
}

func TestReferredTicketIsNotReferredAgain(t *testing.T) {
	h := newFullPool(t)
	h.in.FreeCapacities = append(h.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: 3, Lifetime: time.Second})
	h.submit(200, "urgent", func(t *Ticket) { t.Referred = true })
	if out := h.tick(time.Millisecond); len(out.Referrals) != 0 {
		t.Error("a request that had been referred here was referred again, want no referral")
	}
}

func TestFreeCapacityExcludesOccupiedSlots(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4, 4))
	h.submit(3, "batch")
	h.tick(0)
	if p := h.core.FreeCapacity(); p.Free != 5 || p.Lifetime <= 0 {
		t.Errorf("free-capacity report %+v, want 5 free slots and a lifetime above 0", p)
	}
}

func TestInfeasibleRequestIsRefusedAtArrival(t *testing.T) {
	h := newFullPool(t)
	// Four slots at 50 ms per request serve 80 requests within the 1 s
	// target.
	h.submit(110, "urgent")
	out := h.tick(time.Millisecond)
	if n := len(out.Refusals); n < 15 || n > 45 {
		t.Fatalf("%d of 110 requests refused, want 15 to 45", n)
	}
	for _, r := range out.Refusals {
		if r.Reason != outcome.Infeasible || r.Final != outcome.Refused || r.RetryAfter <= 0 {
			t.Fatalf("refusal %+v, want reason Infeasible, final outcome Refused and a Retry-After time above 0", r)
		}
	}
}

// The test removes most of the pool's slots while many requests wait. Requests
// that can no longer be served in time must be refused soon, not only after their
// latest start.
func TestQueueIsRecheckedWhenServersLeave(t *testing.T) {
	cfg := poolConfig(20, 20)
	cfg.Classes[0].FirstToken = 10 * time.Second
	h := newHarness(t, Options{}, cfg)
	h.runSteadyLoad(100, 100*time.Millisecond, 20, "urgent")
	for range 20 {
		h.submit(100, "urgent")
		h.tick(time.Millisecond)
	}
	waiting := h.core.waiting
	smaller := *cfg
	smaller.Servers = []Server{{Name: "s0", Slots: 1}}
	h.in.Config = &smaller
	refused := len(h.tick(time.Millisecond).Refusals)
	for range 20 {
		refused += len(h.tick(time.Millisecond).Refusals)
	}
	if refused < waiting/2 {
		t.Errorf("%d of %d requests refused within 21 ms of losing 39 of 40 slots, want at least half", refused, waiting)
	}
}

func TestQueueOverflowEvictsTheLowestTier(t *testing.T) {
	cfg := poolConfig(1)
	cfg.Classes[0].FirstToken = time.Minute
	h := newHarness(t, Options{MaxQueue: 10}, cfg)
	h.submit(10, "batch")
	h.tick(0)
	h.submit(5, "urgent")
	for _, r := range h.tick(time.Millisecond).Refusals {
		if i := h.auditor.requests[r.ID]; i.tier == 0 {
			t.Errorf("refused %+v of the highest tier, want only requests of the lowest tier refused", r)
		}
	}
	if h.core.waiting > 10 {
		t.Errorf("%d requests wait, want at most 10", h.core.waiting)
	}
}
