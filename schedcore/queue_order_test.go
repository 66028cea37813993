package schedcore

import (
	"testing"
	"time"
)

// runSteadyLoad submits n requests of a class in each tick. The requests that run
// complete before the next tick.
func (h *harness) runSteadyLoad(ticks int, dt time.Duration, n int, class string) {
	for range ticks {
		h.submit(n, class)
		h.tick(dt)
		h.completeAll(10)
	}
}

func TestLowerTiersReserveSlotsForHigherOnes(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(20, 20))
	h.runSteadyLoad(1000, 10*time.Millisecond, 1, "urgent")
	h.submit(100, "batch")
	h.tick(10 * time.Millisecond)
	if free := h.core.capacity - h.core.busy; free != 5 {
		t.Errorf("%d slots left free, want 5: an eighth of the pool's 40 slots", free)
	}
	h.submit(5, "urgent")
	if out := h.tick(10 * time.Millisecond); len(out.Grants) != 5 || len(out.Preemptions) != 0 {
		t.Errorf("%d grants, %d preemptions; want 5 grants and no preemption", len(out.Grants), len(out.Preemptions))
	}
}

func TestOrganisationsShareByWeight(t *testing.T) {
	cfg := poolConfig(4)
	cfg.Organisations = []Organisation{{Name: "large", Weight: 1}, {Name: "small", Weight: 1}, {Name: "heavy", Weight: 2}}
	h := newHarness(t, Options{}, cfg)
	for _, name := range []string{"large", "small", "heavy"} {
		n := 100
		if name == "large" {
			n = 1000
		}
		h.submit(n, "batch", func(t *Ticket) { t.Organisation = name })
	}
	grants := make(map[string]int)
	for range 25 {
		for _, g := range h.tick(10 * time.Millisecond).Grants {
			r := &h.core.requests[h.core.byID[g.ID]]
			grants[r.ticket.Organisation]++
		}
		h.completeAll(100)
	}
	if grants["large"] > grants["small"]+2 || grants["small"] > grants["large"]+2 {
		t.Errorf("grants by organisation %v, want a difference of at most 2 between organisations of equal weight", grants)
	}
	if grants["heavy"] < 2*grants["small"]-4 || grants["heavy"] > 2*grants["small"]+4 {
		t.Errorf("grants by organisation %v, want twice as many for weight 2 as for weight 1, within 4", grants)
	}
}

func TestFloorIsServedWhileHigherTiersAreOverloaded(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(10))
	served := 0
	for range 500 {
		h.submit(20, "urgent")
		h.submit(1, "batch")
		for _, g := range h.tick(50 * time.Millisecond).Grants {
			if g.Floor {
				served++
			}
		}
		h.completeAll(10)
	}
	if served < 400 {
		t.Errorf("%d of 500 requests of the lower tier were granted from its floor, want at least 400", served)
	}
}

func TestHigherTierGoesFirst(t *testing.T) {
	cfg := poolConfig(1)
	cfg.Classes[0].FirstToken = time.Minute
	cfg.Classes[1].Floor = 0
	h := newHarness(t, Options{MinFloor: 1e-9}, cfg)
	h.submit(1, "urgent")
	h.tick(time.Millisecond)
	h.submit(3, "batch")
	want := h.submit(1, "urgent")
	h.tick(time.Millisecond)
	h.running = map[string][]Grant{"s0": h.running["s0"]}
	h.completeAll(10)
	out := h.tick(time.Millisecond)
	if len(out.Grants) != 1 || out.Grants[0].ID != want {
		t.Errorf("grants %+v, want only the urgent request", out.Grants)
	}
}

// Requests of the lower tier arrive rarely while the higher tier is overloaded.
// Each refusal in the higher tier evicts the waiting requests of the lower
// tier, so a request of the lower tier runs only if it gets a slot at once. The
// slots of its floor must therefore be free when it arrives.
func TestFloorsStayFreeWhileHigherTiersAreShed(t *testing.T) {
	arrived, granted := overloadHighestTier(t, poolConfig(20), 2000, 17)
	if granted*10 < arrived*8 {
		t.Errorf("%d of %d requests of the lower tier granted, want at least 80%%", granted, arrived)
	}
}

// overloadHighestTier submits three times the pool's capacity to the highest
// tier for the given number of ticks. The parameter batchInterval is the
// number of ticks between two requests of the lower tier. The results are the
// numbers of requests of the lower tier that arrived and that were granted.
func overloadHighestTier(t *testing.T, cfg *Config, ticks, batchInterval int) (arrived, granted int) {
	const slotTicks = 20 // ticks for which a request holds a slot
	h := newHarness(t, Options{Seed: 1}, cfg)
	completions := make(map[int][]Grant)
	for tick := range ticks {
		for _, g := range completions[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 10, Tokens: 10})
		}
		h.submit(max(3*h.core.capacity/slotTicks, 1), "urgent")
		if tick%batchInterval == 0 {
			h.submit(1, "batch")
			arrived++
		}
		for _, g := range h.tick(10 * time.Millisecond).Grants {
			completions[tick+slotTicks] = append(completions[tick+slotTicks], g)
			if g.Priority == 2 {
				granted++
			}
		}
	}
	return arrived, granted
}

// Options.MinFloor must serve a class that is configured without a floor.
func TestClassWithoutAFloorIsNotStarved(t *testing.T) {
	cfg := poolConfig(20)
	cfg.Classes[1].Floor = 0
	if _, granted := overloadHighestTier(t, cfg, 3000, 10); granted < 15 {
		t.Errorf("%d requests of the class without a floor granted in 30 s, want at least 15", granted)
	}
}

func TestFloorOfAnIdleClassIsNotKeptFree(t *testing.T) {
	h := newHarness(t, Options{Seed: 1}, poolConfig(10))
	h.submit(1, "batch")
	h.tick(0)
	h.completeAll(10)
	h.tick(time.Minute)
	for range 20 {
		h.completeAll(10)
		h.submit(30, "urgent")
		h.tick(10 * time.Millisecond)
	}
	if free := h.core.capacity - h.core.busy; free != 0 {
		t.Errorf("%d slots were kept free for a class whose last request arrived a minute ago, want none", free)
	}
}

func TestRequestAtItsLatestStartUsesTheReserve(t *testing.T) {
	cfg := poolConfig(20, 20)
	cfg.Classes[1].MaxWait = time.Second
	h := newHarness(t, Options{}, cfg)
	h.runSteadyLoad(1000, 10*time.Millisecond, 1, "urgent")
	h.submit(36, "batch")
	h.tick(10 * time.Millisecond)
	for range 120 {
		out := h.tick(10 * time.Millisecond)
		if len(out.Refusals) > 0 {
			t.Fatalf("refused %+v while %d slots were free, want no refusal", out.Refusals[0], h.core.capacity-h.core.busy)
		}
	}
	if h.core.waiting != 0 {
		t.Errorf("%d requests still wait after their latest start, want none", h.core.waiting)
	}
}
