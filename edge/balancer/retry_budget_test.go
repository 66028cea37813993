package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRetryBudgetHoldsInEverySlidingWindow has seven instances retry as often
// as AllowRetry lets them, and checks the sum of their retries in every window
// of ten seconds. The limit of a window is computed from the number of
// requests in this window or in the previous window, whichever number is larger.
func TestRetryBudgetHoldsInEverySlidingWindow(t *testing.T) {
	const (
		ratio     = 0.2
		allowance = 54.0
		instances = 7
		window    = 10 * time.Second
		step      = 10 * time.Millisecond
	)
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*RetryBudget, instances)
		for i := range budgets {
			budgets[i] = NewRetryBudget(window)
		}
		var requests, retries []int
		start := time.Unix(500, int64(random.IntN(1e9)))
		for n := range 6000 {
			now := start.Add(time.Duration(n) * step)
			requested, retried := 0, 0
			for _, b := range budgets {
				if random.Float64() < 0.1 {
					b.CountRequest(now)
					requested++
				}
				if b.AllowRetry(ratio, allowance, instances, now) {
					retried++
				}
			}
			requests, retries = append(requests, requested), append(retries, retried)
		}
		steps := int(window / step)
		for from := steps; from+steps <= len(retries); from++ {
			allowed := ratio*float64(max(sum(requests[from:from+steps]), sum(requests[from-steps:from]))) + allowance
			if got := sum(retries[from : from+steps]); float64(got) > allowed {
				t.Fatalf("seed %d: got %d retries in a window, want at most %.1f", seed, got, allowed)
			}
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func TestRetryBudgetRefillsAfterWindow(t *testing.T) {
	b := NewRetryBudget(10 * time.Second)
	now := time.Unix(100, 0)
	for b.AllowRetry(0.2, 54, 7, now) {
	}
	if b.AllowRetry(0.2, 54, 7, now.Add(time.Second)) {
		t.Error("within the window: a spent budget allowed another retry, want none")
	}
	if !b.AllowRetry(0.2, 54, 7, now.Add(11*time.Second)) {
		t.Error("after the window: no retry is allowed, want at least one")
	}
}

// TestRetryBudgetCountsByTheSteadyClock guards against retries that are forgotten, and so made again, because
// the time of day jumped.
func TestRetryBudgetCountsByTheSteadyClock(t *testing.T) {
	const allowance = 10 / usableBudgetFraction
	b := NewRetryBudget(10 * time.Second)
	now := time.Now()
	for b.AllowRetry(0, allowance, 1, now) {
	}
	later := now.Add(5 * time.Second)
	if b.AllowRetry(0, allowance, 1, later) {
		t.Error("a retry beyond the budget was allowed within the window")
	}
	if b.bucket != 5 {
		t.Errorf("after 5 s the bucket is %d, want 5, counted by the steady clock from the first use", b.bucket)
	}
}
