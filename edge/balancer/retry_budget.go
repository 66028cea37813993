package balancer

// The load this answers: many sends fail at once, and repeating them all would
// double the load on what is left. Repeats draw on a budget that all instances
// share; each keeps to its part of it without asking the others.

import (
	"time"
)

const (
	// budgetParts is into how many parts the window is cut to count.
	budgetParts = 10
	// budgetMargin is the part of the budget that is used: instances count in
	// windows that don't begin at the same moment.
	budgetMargin = 0.85
)

// RetryBudget counts the requests and repeats to one service.
type RetryBudget struct {
	window   time.Duration
	part     int64
	requests [budgetParts]int
	repeats  [budgetParts]int
}

// NewRetryBudget returns a budget over windows of this length.
func NewRetryBudget(window time.Duration) *RetryBudget { return &RetryBudget{window: window} }

// advance clears the parts that have fallen out of the window.
func (b *RetryBudget) advance(now time.Time) int {
	part := now.UnixNano() / (int64(b.window) / budgetParts)
	steps := min(part-b.part, budgetParts)
	for i := range steps {
		at := (part - i) % budgetParts
		b.requests[at], b.repeats[at] = 0, 0
	}
	b.part = max(b.part, part)
	return int(b.part % budgetParts)
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether one more send is allowed, and counts it. Slack is the
// number of repeats that all instances together may make beside ratio times the
// requests, and instances how many there are.
func (b *RetryBudget) AllowRetry(ratio, slack float64, instances int, now time.Time) bool {
	if b.Remaining(ratio, slack, instances, now) < 1 {
		return false
	}
	b.repeats[b.advance(now)]++
	return true
}

// Remaining is how many more repeats are allowed now, by the same limits.
func (b *RetryBudget) Remaining(ratio, slack float64, instances int, now time.Time) int {
	b.advance(now)
	var requests, repeats int
	for i := range budgetParts {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := budgetMargin * (ratio*float64(requests) + slack/float64(max(instances, 1)))
	return max(int(allowed)-repeats, 0)
}
