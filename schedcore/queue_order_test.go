package schedcore

import (
	"testing"
	"time"
)

// steady submits n requests of a class each tick and ends what ran.
func (h *harness) steady(ticks int, dt time.Duration, n int, class string) {
	for range ticks {
		h.submit(n, class)
		h.tick(dt)
		h.end(10)
	}
}

func TestLowerTiersLeaveSlotsToArrivalsAbove(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(20, 20))
	h.steady(1000, 10*time.Millisecond, 1, "urgent")
	h.submit(100, "batch")
	h.tick(10 * time.Millisecond)
	if free := h.core.capacity - h.core.busy; free != 5 {
		t.Errorf("%d slots left free, want an eighth of 40", free)
	}
	h.submit(5, "urgent")
	if out := h.tick(10 * time.Millisecond); len(out.Grants) != 5 || len(out.Preemptions) != 0 {
		t.Errorf("%d grants, %d preemptions; want 5 and none", len(out.Grants), len(out.Preemptions))
	}
}

func TestOrganisationsShareByWeight(t *testing.T) {
	cfg := poolOf(4)
	cfg.Organisations = []Organisation{{Name: "large", Weight: 1}, {Name: "small", Weight: 1}, {Name: "heavy", Weight: 2}}
	h := newHarness(t, Options{}, cfg)
	for _, name := range []string{"large", "small", "heavy"} {
		n := 100
		if name == "large" {
			n = 1000
		}
		h.submit(n, "batch", func(t *Ticket) { t.Organisation = name })
	}
	got := make(map[string]int)
	for range 25 {
		for _, g := range h.tick(10 * time.Millisecond).Grants {
			row := &h.core.rows[h.core.byID[g.ID]]
			got[row.ticket.Organisation]++
		}
		h.end(100)
	}
	if got["large"] > got["small"]+2 || got["small"] > got["large"]+2 {
		t.Errorf("grants of equal organisations: %v", got)
	}
	if got["heavy"] < 2*got["small"]-4 || got["heavy"] > 2*got["small"]+4 {
		t.Errorf("an organisation of weight 2 got %v", got)
	}
}

func TestFloorIsServedUnderOverloadAbove(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(10))
	served := 0
	for range 500 {
		h.submit(20, "urgent")
		h.submit(1, "batch")
		for _, g := range h.tick(50 * time.Millisecond).Grants {
			if g.Floor {
				served++
			}
		}
		h.end(10)
	}
	if served < 400 {
		t.Errorf("%d of 500 requests of the lower tier served from its floor", served)
	}
}

func TestHigherTierGoesFirst(t *testing.T) {
	cfg := poolOf(1)
	cfg.Classes[0].FirstToken = time.Minute
	cfg.Classes[1].Floor = 0
	h := newHarness(t, Options{MinFloor: 1e-9}, cfg)
	h.submit(1, "urgent")
	h.tick(time.Millisecond)
	h.submit(3, "batch")
	want := h.submit(1, "urgent")
	h.tick(time.Millisecond)
	h.running = map[string][]Grant{"s0": h.running["s0"]}
	h.end(10)
	out := h.tick(time.Millisecond)
	if len(out.Grants) != 1 || out.Grants[0].ID != want {
		t.Errorf("grants %+v, want the urgent request", out.Grants)
	}
}

// TestFloorsAreHeldFreeWhileAboveIsShed lets the lower tier arrive rarely under
// an overload of the higher one. What waits is evicted at each refusal above,
// so its floor must be free when it comes.
func TestFloorsAreHeldFreeWhileAboveIsShed(t *testing.T) {
	arrived, granted := flood(t, poolOf(20), 2000, 17)
	if granted*10 < arrived*8 {
		t.Errorf("%d of %d requests of the lower tier served", granted, arrived)
	}
}

// flood keeps the highest tier at three times a pool's capacity and lets the
// lower one arrive every so many ticks. It counts the lower's grants.
func flood(t *testing.T, cfg *Config, ticks, every int) (arrived, granted int) {
	const hold = 20 // ticks
	h := newHarness(t, Options{Seed: 1}, cfg)
	ends := make(map[int][]Grant)
	for tick := range ticks {
		for _, g := range ends[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 10, Tokens: 10})
		}
		h.submit(max(3*h.core.capacity/hold, 1), "urgent")
		if tick%every == 0 {
			h.submit(1, "batch")
			arrived++
		}
		for _, g := range h.tick(10 * time.Millisecond).Grants {
			ends[tick+hold] = append(ends[tick+hold], g)
			if g.Priority == 2 {
				granted++
			}
		}
	}
	return arrived, granted
}

func TestClassWithoutAFloorIsServedAtLast(t *testing.T) {
	cfg := poolOf(20)
	cfg.Classes[1].Floor = 0
	if _, granted := flood(t, cfg, 3000, 10); granted < 15 {
		t.Errorf("%d requests served in 30 s, want about one a second", granted)
	}
}

func TestFloorOfAnIdleClassIsNotHeld(t *testing.T) {
	h := newHarness(t, Options{Seed: 1}, poolOf(10))
	h.submit(1, "batch")
	h.tick(0)
	h.end(10)
	h.tick(time.Minute)
	for range 20 {
		h.end(10)
		h.submit(30, "urgent")
		h.tick(10 * time.Millisecond)
	}
	if free := h.core.capacity - h.core.busy; free != 0 {
		t.Errorf("%d slots held free for a class that was last seen a minute ago", free)
	}
}

func TestLatestStartTakesFromTheReserve(t *testing.T) {
	cfg := poolOf(20, 20)
	cfg.Classes[1].MaxWait = time.Second
	h := newHarness(t, Options{}, cfg)
	h.steady(1000, 10*time.Millisecond, 1, "urgent")
	h.submit(36, "batch")
	h.tick(10 * time.Millisecond)
	for range 120 {
		out := h.tick(10 * time.Millisecond)
		if len(out.Refusals) > 0 {
			t.Fatalf("refused %+v beside %d free slots", out.Refusals[0], h.core.capacity-h.core.busy)
		}
	}
	if h.core.waiting != 0 {
		t.Errorf("%d still wait", h.core.waiting)
	}
}
