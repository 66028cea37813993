package schedcore

import (
	"testing"
	"time"
)

// The test keeps a class at three times its capacity and lets each refused caller
// return once, at its Retry-After time. The reservations must get most of these
// callers admitted.
func TestCallersWhoReturnAfterRetryAfterAreAdmitted(t *testing.T) {
	const (
		step      = 10 * time.Millisecond
		slotTicks = 20 // ticks for which a request holds a slot
	)
	h := newHarness(t, Options{Seed: 1}, poolConfig(10))
	completions := make(map[int][]Grant)
	returns := make(map[int][]Ticket)
	prompts := make(map[RequestID]int)
	returned, admitted := 0, 0
	isReturn := make(map[RequestID]bool)
	for tick := range 2500 {
		for _, g := range completions[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 10, Tokens: 10})
		}
		for range 1 + tick%2 {
			prompt := h.nextID + 1
			id := h.submit(1, "urgent", func(t *Ticket) { t.PromptTokens = prompt })
			prompts[id] = prompt
		}
		for _, old := range returns[tick] {
			id := h.submit(1, "urgent", func(t *Ticket) { t.PromptTokens = old.PromptTokens })
			isReturn[id] = true
			returned++
		}
		out := h.tick(step)
		for _, g := range out.Grants {
			completions[tick+slotTicks] = append(completions[tick+slotTicks], g)
			if isReturn[g.ID] {
				admitted++
			}
		}
		for _, r := range out.Refusals {
			if at := tick + int((r.RetryAfter+step)/step); !isReturn[r.ID] {
				returns[at] = append(returns[at], Ticket{PromptTokens: prompts[r.ID]})
			}
		}
	}
	if returned < 100 || admitted*10 < returned*8 {
		t.Errorf("%d of %d returning callers were admitted, want at least 100 returning callers and 80%% of them admitted", admitted, returned)
	}
}

func TestReservationsAreUsedOnceAndInTime(t *testing.T) {
	var table reservationTable
	table.add(reservation{key: 7, dueAt: 10 * time.Second}, 0)
	if table.take(7, 9*time.Second) {
		t.Error("the reservation was found 1 s before its due time, want it not found")
	}
	if table.take(7, 10*time.Second+2*reservationLate) {
		t.Error("the reservation was found later than reservationLate after its due time, want it not found")
	}
	if !table.take(7, 10*time.Second) || table.take(7, 10*time.Second) {
		t.Error("two requests came at the due time: want the reservation used by the first request and not by the second")
	}
}
