package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetHoldsInEveryWindow has seven instances repeat as often as they may
// and counts all of them in windows that slide.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		ratio     = 0.2
		slack     = 54.0
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
		var requests, repeats []int
		begin := time.Unix(500, int64(random.IntN(1e9)))
		for n := range 6000 {
			now := begin.Add(time.Duration(n) * step)
			requested, repeated := 0, 0
			for _, b := range budgets {
				if random.Float64() < 0.1 {
					b.CountRequest(now)
					requested++
				}
				if b.AllowRetry(ratio, slack, instances, now) {
					repeated++
				}
			}
			requests, repeats = append(requests, requested), append(repeats, repeated)
		}
		width := int(window / step)
		for from := width; from+width <= len(repeats); from++ {
			allowed := ratio*float64(max(sum(requests[from:from+width]), sum(requests[from-width:from]))) + slack
			if got := sum(repeats[from : from+width]); float64(got) > allowed {
				t.Fatalf("seed %d: %d repeats in a window, %.1f allowed", seed, got, allowed)
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

func TestBudgetIsRenewed(t *testing.T) {
	b := NewRetryBudget(10 * time.Second)
	now := time.Unix(100, 0)
	for b.AllowRetry(0.2, 54, 7, now) {
	}
	if b.AllowRetry(0.2, 54, 7, now.Add(time.Second)) {
		t.Error("a spent budget allowed one more within its window")
	}
	if !b.AllowRetry(0.2, 54, 7, now.Add(11*time.Second)) {
		t.Error("a window later nothing is allowed")
	}
}
