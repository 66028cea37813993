package schedcore

import (
	"testing"
	"time"
)

// learnLimit runs a pool of one server and returns the limit that the core
// learned. If fewer than batchSize requests run when a request starts, the
// request's first token takes 30 ms. Otherwise it takes 500 ms.
func learnLimit(t *testing.T, slots, batchSize int) int {
	h := newHarness(t, Options{}, poolConfig(slots))
	completions := make(map[int][]Grant)
	for tick := range 15000 {
		for _, g := range completions[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 100, Tokens: 50})
		}
		h.submit(max(0, 40-h.core.waiting), "batch")
		before := len(h.core.running) - len(h.in.Completions)
		for k, g := range h.tick(10 * time.Millisecond).Grants {
			after := 30 * time.Millisecond
			if before+k >= batchSize {
				after = 500 * time.Millisecond
			}
			h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: after})
			completions[tick+50+tick%50] = append(completions[tick+50+tick%50], g)
		}
	}
	return h.core.servers[0].limit()
}

// A request with little slack must not be used as a limit probe. While it waits,
// no request of a lower tier may be used as a limit probe either.
func TestLimitProbesKeepTheQueueOrder(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(4, "urgent")
	h.tick(0)
	h.tick(2 * minLimitProbeBackoff)
	h.submit(1, "batch")
	h.submit(1, "urgent")
	if out := h.tick(time.Millisecond); len(out.Grants) != 0 {
		t.Errorf("grants %+v beyond the limit, want none", out.Grants)
	}
}

func TestLimitRisesToTheServersBatchSize(t *testing.T) {
	for _, batchSize := range []int{8, 12} {
		if got := learnLimit(t, 8, batchSize); got < batchSize-1 || got > batchSize+1 {
			t.Errorf("limit %d was learned for a server with 8 configured slots and batch size %d, want the batch size plus or minus 1", got, batchSize)
		}
	}
}
