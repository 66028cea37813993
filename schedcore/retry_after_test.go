package schedcore

import (
	"testing"
	"time"
)

// TestCallersWhoComeBackWhenToldAreAdmitted keeps a class at three times its
// capacity and lets each refused caller come back once, when it was told.
func TestCallersWhoComeBackWhenToldAreAdmitted(t *testing.T) {
	const (
		step = 10 * time.Millisecond
		hold = 20 // ticks
	)
	h := newHarness(t, Options{Seed: 1}, poolOf(10))
	ends := make(map[int][]Grant)
	returns := make(map[int][]Ticket)
	prompts := make(map[RequestID]int)
	returned, admitted := 0, 0
	back := make(map[RequestID]bool)
	for tick := range 2500 {
		for _, g := range ends[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 10, Tokens: 10})
		}
		for range 1 + tick%2 {
			prompt := h.next + 1
			id := h.submit(1, "urgent", func(t *Ticket) { t.PromptTokens = prompt })
			prompts[id] = prompt
		}
		for _, old := range returns[tick] {
			id := h.submit(1, "urgent", func(t *Ticket) { t.PromptTokens = old.PromptTokens })
			back[id] = true
			returned++
		}
		out := h.tick(step)
		for _, g := range out.Grants {
			ends[tick+hold] = append(ends[tick+hold], g)
			if back[g.ID] {
				admitted++
			}
		}
		for _, r := range out.Refusals {
			if at := tick + int((r.RetryAfter+step)/step); !back[r.ID] {
				returns[at] = append(returns[at], Ticket{PromptTokens: prompts[r.ID]})
			}
		}
	}
	if returned < 100 || admitted*10 < returned*8 {
		t.Errorf("%d of %d callers who came back were admitted, want 80%%", admitted, returned)
	}
}

func TestBookingsAreTakenOnceAndInTime(t *testing.T) {
	var table bookingTable
	table.add(booking{key: 7, at: 10 * time.Second}, 0)
	if table.take(7, 9*time.Second) {
		t.Error("taken too early")
	}
	if table.take(7, 10*time.Second+2*returnLate) {
		t.Error("taken too late")
	}
	if !table.take(7, 10*time.Second) || table.take(7, 10*time.Second) {
		t.Error("a booking serves once")
	}
}
