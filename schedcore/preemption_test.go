package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// untilPreemption ticks until a request is preempted.
func (h *harness) untilPreemption() *Output {
	h.t.Helper()
	for range 200 {
		if out := h.tick(10 * time.Millisecond); len(out.Preemptions) > 0 {
			return out
		}
	}
	h.t.Fatal("no preemption")
	return nil
}

func TestPreemptionIsTheLastMoment(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(4, "batch")
	h.tick(0)
	h.submit(1, "urgent")
	out := h.untilPreemption()
	if h.now < 800*time.Millisecond {
		t.Errorf("preempted after %v of a target of 1 s", h.now)
	}
	if len(out.Preemptions) != 1 || len(out.Grants) != 1 {
		t.Fatalf("%d preemptions and %d grants, want one each", len(out.Preemptions), len(out.Grants))
	}
	if out.Grants[0].Server != out.Preemptions[0].Server {
		t.Error("the freed slot went to waste")
	}
}

func TestNoEarlyPreemptionAfterAPause(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(4, "batch")
	h.tick(0)
	h.submit(1, "urgent")
	if out := h.tick(10 * time.Second); len(out.Preemptions) != 0 {
		t.Error("preempted with the whole target left")
	}
}

func TestPreemptionTakesTheLeastComputed(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(4, "batch")
	grants := append([]Grant(nil), h.tick(0).Grants...)
	for i, g := range grants {
		h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
		h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 100 - i, Gap: time.Millisecond})
	}
	h.submit(1, "urgent")
	out := h.untilPreemption()
	if len(out.Preemptions) != 1 || out.Preemptions[0].ID != grants[3].ID {
		t.Errorf("preempted %+v, want the request with the fewest tokens", out.Preemptions)
	}
}

func TestPreemptionTakesIdempotentRequestsOfLowerTiersOnly(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	want := h.submit(1, "batch")
	h.submit(2, "batch", func(t *Ticket) { t.Idempotent = false })
	h.submit(1, "urgent")
	for _, g := range h.tick(0).Grants {
		if g.ID == want {
			h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
		}
	}
	h.submit(1, "urgent")
	if got := h.untilPreemption().Preemptions; len(got) != 1 || got[0].ID != want {
		t.Errorf("preempted %+v, want the one idempotent request", got)
	}
	h.submit(1, "urgent")
	for range 150 {
		if out := h.tick(10 * time.Millisecond); len(out.Preemptions) != 0 {
			t.Fatalf("preempted %+v", out.Preemptions)
		}
	}
}

// TestPreemptionLeavesVictimsForTheTiersAbove has one victim, a middle request at
// its latest start, and a higher one that has just come.
func TestPreemptionLeavesVictimsForTheTiersAbove(t *testing.T) {
	cfg := poolOf(4)
	cfg.Classes[1].Floor = 0.75
	cfg.Classes = append(cfg.Classes, Class{Name: "middle", Tier: 1, FirstToken: time.Second})
	h := newHarness(t, Options{}, cfg)
	h.steady(100, 50*time.Millisecond, 1, "batch")
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
				t.Fatalf("%+v before the highest tier", g)
			}
			if g.ID == urgent {
				return
			}
		}
	}
	t.Error("the highest tier got no slot")
}

func TestPreemptedRequestContinues(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(2))
	h.submit(2, "batch")
	for _, g := range h.tick(0).Grants {
		h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
	}
	h.submit(1, "urgent")
	victim := h.untilPreemption().Preemptions[0].ID
	h.end(10)
	for _, g := range h.tick(10 * time.Millisecond).Grants {
		if g.ID == victim {
			if !g.Continue || g.Reason != outcome.Preempted {
				t.Errorf("granted again as %+v", g)
			}
			return
		}
	}
	t.Error("the preempted request was not granted again")
}

// TestPreemptionThrowsLittleAway has only victims that are far along: the late
// start of one request costs less than their work.
func TestPreemptionThrowsLittleAway(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(4, "batch")
	for _, g := range h.tick(0).Grants {
		h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: time.Millisecond})
		h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: maxThrownAway + 1, Gap: time.Millisecond})
	}
	h.submit(1, "urgent")
	for range 150 {
		if out := h.tick(10 * time.Millisecond); len(out.Preemptions) > 0 {
			t.Fatalf("after %v %d tokens were thrown away", h.now, maxThrownAway+1)
		}
	}
}
