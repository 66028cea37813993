package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// untilPreemption ticks until a request is preempted, and fails the test after
// 2 s.
func (h *harness) untilPreemption() *Output {
	h.t.Helper()
	for range 200 {
		if out := h.tick(10 * time.Millisecond); len(out.Preemptions) > 0 {
			return out
		}
	}
	h.t.Fatal("no preemption within 2 s")
	return nil
}

func TestPreemptionWaitsForTheLatestStart(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(4, "batch")
	h.tick(0)
	h.submit(1, "urgent")
	out := h.untilPreemption()
	if h.now < 800*time.Millisecond {
		t.Errorf("a request was preempted after %v, want at least 800 ms for a target of 1 s", h.now)
	}
	if len(out.Preemptions) != 1 || len(out.Grants) != 1 {
		t.Fatalf("%d preemptions and %d grants, want one each", len(out.Preemptions), len(out.Grants))
	}
	if out.Grants[0].Server != out.Preemptions[0].Server {
		t.Error("the grant is on another server than the preemption, want the same server")
	}
}

// The slack at which a request preempts grows with the interval between ticks.
// After a long interval it must stay within maxPreemptSlack.
func TestNoEarlyPreemptionAfterALongTick(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(4, "batch")
	h.tick(0)
	h.submit(1, "urgent")
	if out := h.tick(10 * time.Second); len(out.Preemptions) != 0 {
		t.Error("a request was preempted for a request that had just arrived, want no preemption")
	}
}

func TestPreemptionPicksTheRequestWithTheFewestTokens(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(4, "batch")
	grants := append([]Grant(nil), h.tick(0).Grants...)
	for i, g := range grants {
		h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
		h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 100 - i, Gap: time.Millisecond})
	}
	h.submit(1, "urgent")
	out := h.untilPreemption()
	if len(out.Preemptions) != 1 || out.Preemptions[0].ID != grants[3].ID {
		t.Errorf("preempted %+v, want only the request with the fewest tokens", out.Preemptions)
	}
}

func TestPreemptionPicksOnlyIdempotentRequestsOfLowerTiers(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	idempotent := h.submit(1, "batch")
	h.submit(2, "batch", func(t *Ticket) { t.Idempotent = false })
	h.submit(1, "urgent")
	for _, g := range h.tick(0).Grants {
		if g.ID == idempotent {
			h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
		}
	}
	h.submit(1, "urgent")
	if got := h.untilPreemption().Preemptions; len(got) != 1 || got[0].ID != idempotent {
		t.Errorf("preempted %+v, want the only idempotent request of the lower tier", got)
	}
	h.submit(1, "urgent")
	for range 150 {
		if out := h.tick(10 * time.Millisecond); len(out.Preemptions) != 0 {
			t.Fatalf("preempted %+v, want none while no idempotent request of a lower tier runs", out.Preemptions)
		}
	}
}

// The pool runs four requests of the lowest tier. The floor of that tier protects
// three of the four, so only one request can be preempted. A request of the middle
// tier reaches its latest start, and a request of the highest tier has just
// arrived. The middle tier must not preempt, so that the highest tier can preempt
// later.
func TestPreemptionLeavesVictimsForTheTiersAbove(t *testing.T) {
	cfg := poolConfig(4)
	cfg.Classes[1].Floor = 0.75
	cfg.Classes = append(cfg.Classes, Class{Name: "middle", Tier: 1, FirstToken: time.Second})
	h := newHarness(t, Options{}, cfg)
	h.runSteadyLoad(100, 50*time.Millisecond, 1, "batch")
	h.submit(4, "batch")
	h.tick(0)
	h.submit(1, "middle")
	for range 92 {
		h.tick(10 * time.Millisecond)
	}
	urgent := h.submit(1, "urgent")
	for range 150 {
		for _, g := range h.tick(10 * time.Millisecond).Grants {
			if g.ID != urgent && !g.Floor {
				t.Fatalf("granted %+v first, want the request of the highest tier granted first", g)
			}
			if g.ID == urgent {
				return
			}
		}
	}
	t.Error("the request of the highest tier was not granted within 1.5 s, want it granted")
}

func TestPreemptedRequestContinues(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(2))
	h.submit(2, "batch")
	for _, g := range h.tick(0).Grants {
		h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
	}
	h.submit(1, "urgent")
	victim := h.untilPreemption().Preemptions[0].ID
	h.completeAll(10)
	for _, g := range h.tick(10 * time.Millisecond).Grants {
		if g.ID == victim {
			if !g.Continue || g.Reason != outcome.Preempted {
				t.Errorf("the preempted request was granted again as %+v, want Continue true and reason Preempted", g)
			}
			return
		}
	}
	t.Error("the preempted request was not granted again, want a second grant")
}

// All running requests have produced more than maxWastedTokens tokens. It costs
// less to start the urgent request late than to lose this work, so no running
// request may be preempted.
func TestNoPreemptionIfItWastesMuchWork(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(4, "batch")
	for _, g := range h.tick(0).Grants {
		h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
		h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: maxWastedTokens + 1, Gap: time.Millisecond})
	}
	h.submit(1, "urgent")
	for range 150 {
		if out := h.tick(10 * time.Millisecond); len(out.Preemptions) > 0 {
			t.Fatalf("a request was preempted after %v although that wastes %d tokens, want no preemption", h.now, maxWastedTokens+1)
		}
	}
}
