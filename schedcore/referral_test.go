package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// overflow fills the pool and submits a request that cannot wait.
func overflow(t *testing.T) *harness {
	h := newHarness(t, Options{}, poolOf(4))
	h.steady(100, 50*time.Millisecond, 4, "urgent")
	h.submit(4, "urgent")
	h.tick(50 * time.Millisecond)
	return h
}

func TestReferralUnderPressureUntilTheDigestExpires(t *testing.T) {
	h := overflow(t)
	h.in.FreeCapacities = append(h.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: 3, Lifetime: time.Second})
	h.submit(200, "urgent")
	out := h.tick(time.Millisecond)
	if len(out.Referrals) != 3 || len(out.Refusals) == 0 {
		t.Errorf("%d referrals, %d refusals; want 3 and some", len(out.Referrals), len(out.Refusals))
	}
	h.in.FreeCapacities = append(h.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: 3, Lifetime: time.Second})
	h.tick(time.Millisecond)
	h.submit(200, "urgent")
	if out := h.tick(1100 * time.Millisecond); len(out.Referrals) != 0 {
		t.Error("referred by a digest that expired")
	}
}

func TestReferredTicketsStay(t *testing.T) {
	h := overflow(t)
	h.in.FreeCapacities = append(h.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: 3, Lifetime: time.Second})
	h.submit(200, "urgent", func(t *Ticket) { t.Referred = true })
	if out := h.tick(time.Millisecond); len(out.Referrals) != 0 {
		t.Error("a referred request was referred again")
	}
}

func TestPressureCountsWhatTheQueueDoesNotNeed(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4, 4))
	h.submit(3, "batch")
	h.tick(0)
	if p := h.core.FreeCapacity(); p.Free != 5 || p.Lifetime <= 0 {
		t.Errorf("digest %+v, want 5 free slots", p)
	}
}

func TestInfeasibleIsRefusedAtArrival(t *testing.T) {
	h := overflow(t)
	// Four slots of 50 ms take 80 requests in the target's second.
	h.submit(110, "urgent")
	out := h.tick(time.Millisecond)
	if n := len(out.Refusals); n < 15 || n > 45 {
		t.Fatalf("%d refusals, want about 30", n)
	}
	for _, r := range out.Refusals {
		if r.Reason != outcome.Infeasible || r.Final != outcome.Refused || r.RetryAfter <= 0 {
			t.Fatalf("refusal %+v", r)
		}
	}
}

// TestQueueIsReviewedWhenServersLeave refuses what no longer has a chance at the
// tick at which the servers leave, not when its time is up.
func TestQueueIsReviewedWhenServersLeave(t *testing.T) {
	cfg := poolOf(20, 20)
	cfg.Classes[0].FirstToken = 10 * time.Second
	h := newHarness(t, Options{}, cfg)
	h.steady(100, 100*time.Millisecond, 20, "urgent")
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
		t.Errorf("%d of %d refused within 21 ms of the loss of 39 of 40 slots", refused, waiting)
	}
}

func TestQueueOverflowEvictsTheLowestTier(t *testing.T) {
	cfg := poolOf(1)
	cfg.Classes[0].FirstToken = time.Minute
	h := newHarness(t, Options{MaxQueue: 10}, cfg)
	h.submit(10, "batch")
	h.tick(0)
	h.submit(5, "urgent")
	for _, r := range h.tick(time.Millisecond).Refusals {
		if i := h.auditor.requests[r.ID]; i.tier == 0 {
			t.Errorf("refused %+v of the highest tier", r)
		}
	}
	if h.core.waiting > 10 {
		t.Errorf("%d wait, want at most 10", h.core.waiting)
	}
}
