package balancer

// If many requests fail at once and each of them is retried, the load on the
// remaining servers doubles. So all instances share a budget of retries. Each
// instance computes its share from its own requests and from the number of
// instances, without communicating with the others.

import (
	"time"
)

const (
	// budgetBuckets is the number of time buckets in the sliding window.
	budgetBuckets = 10
	// usableBudgetFraction is the fraction of the budget that the instances
	// spend. The rest is a margin, since the sliding windows of different
	// instances don't start at the same moment.
	usableBudgetFraction = 0.85
)

// RetryBudget counts this instance's requests and retries to one service in a
// sliding window.
type RetryBudget struct {
	window time.Duration
	// begun is when the first request or retry was counted. bucket is the number of the current
	// time bucket, counted from then by the steady clock, since the time of day may jump. The
	// counts of bucket n are in the elements n modulo budgetBuckets of requests and retries.
	begun    time.Time
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// NewRetryBudget returns a budget with all counts at zero. The parameter window
// is the length of the sliding window.
func NewRetryBudget(window time.Duration) *RetryBudget { return &RetryBudget{window: window} }

// advance clears the buckets that have left the window and returns the array
// index of the current bucket.
func (b *RetryBudget) advance(now time.Time) int {
	if b.begun.IsZero() {
		b.begun = now
	}
	bucket := max(int64(now.Sub(b.begun))/(int64(b.window)/budgetBuckets), b.bucket)
	elapsed := min(bucket-b.bucket, budgetBuckets)
	for i := range elapsed {
		index := (bucket - i) % budgetBuckets
		b.requests[index], b.retries[index] = 0, 0
	}
	b.bucket = bucket
	return int(b.bucket % budgetBuckets)
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether this instance may make a retry now. If so,
// AllowRetry counts the retry. In each window, all instances together may
// make a limited number of retries. This limit is the number of their requests
// multiplied by the parameter ratio, plus the parameter allowance. The parameter
// instances is the number of instances that share the budget.
func (b *RetryBudget) AllowRetry(ratio, allowance float64, instances int, now time.Time) bool {
	if b.Remaining(ratio, allowance, instances, now) < 1 {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// Remaining returns how many more retries this instance may make now. The
// parameters have the same meaning as for AllowRetry.
func (b *RetryBudget) Remaining(ratio, allowance float64, instances int, now time.Time) int {
	allowed, retries := b.sums(ratio, allowance, instances, now)
	return max(allowed-retries, 0)
}

// HalfRemains reports whether this instance has spent at most half of its retries. The
// parameters have the same meaning as for AllowRetry.
func (b *RetryBudget) HalfRemains(ratio, allowance float64, instances int, now time.Time) bool {
	allowed, retries := b.sums(ratio, allowance, instances, now)
	return 2*retries <= allowed
}

// sums returns how many retries are allowed in the current window and how many were made.
func (b *RetryBudget) sums(ratio, allowance float64, instances int, now time.Time) (allowed, retries int) {
	b.advance(now)
	var requests int
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return int(usableBudgetFraction * (ratio*float64(requests) + allowance/float64(max(instances, 1)))), retries
}
