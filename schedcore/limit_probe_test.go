package schedcore

import (
	"testing"
	"time"
)

// learnLimit runs a pool of one server that takes in batch requests at once, and
// lets those beyond wait for 500 ms. It returns the learnt limit.
func learnLimit(t *testing.T, slots, batch int) int {
	h := newHarness(t, Options{}, poolOf(slots))
	ends := make(map[int][]Grant)
	for tick := range 15000 {
		for _, g := range ends[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 100, Tokens: 50})
		}
		h.submit(max(0, 40-h.core.waiting), "batch")
		before := len(h.core.running) - len(h.in.Completions)
		for k, g := range h.tick(10 * time.Millisecond).Grants {
			after := 30 * time.Millisecond
			if before+k >= batch {
				after = 500 * time.Millisecond
			}
			h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: after})
			ends[tick+50+tick%50] = append(ends[tick+50+tick%50], g)
		}
	}
	return h.core.servers[0].limit()
}

// TestTrialsLeaveTheOrderAlone keeps trials from requests that cannot wait and
// from the lower tier while the higher waits.
func TestTrialsLeaveTheOrderAlone(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4))
	h.submit(4, "urgent")
	h.tick(0)
	h.tick(2 * minGrowPause)
	h.submit(1, "batch")
	h.submit(1, "urgent")
	if out := h.tick(time.Millisecond); len(out.Grants) != 0 {
		t.Errorf("grants %+v beyond the limit", out.Grants)
	}
}

func TestLimitRisesToWhatTheServerTakes(t *testing.T) {
	for _, batch := range []int{8, 12} {
		if got := learnLimit(t, 8, batch); got < batch-1 || got > batch+1 {
			t.Errorf("limit %d learnt from 8 slots for a server that takes %d", got, batch)
		}
	}
}
