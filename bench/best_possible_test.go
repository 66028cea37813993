package bench

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBestPossibleIsEveryTokenBelowCapacity checks that the bound of bestTokens
// is the number of all requested tokens if the fleet has the capacity for them.
func TestBestPossibleIsEveryTokenBelowCapacity(t *testing.T) {
	w := shortened(CovorAuctionWorkload(), 50*time.Second)
	requests := generateRequests(&w, testSeed)
	requested := 0
	for _, r := range requests {
		requested += r.answerTokens
	}
	if got := bestTokens(&w, requests, w.Duration); got != requested {
		t.Errorf("best possible is %d tokens, want the %d that callers asked for", got, requested)
	}
}

// TestBestPossibleInOverload checks that the bound of bestTokens does not exceed
// what the fleet can generate with full batches, in a burst at ten times the
// fleet's capacity.
func TestBestPossibleInOverload(t *testing.T) {
	w := LowTierBurstWorkload()
	requests := generateRequests(&w, testSeed)
	got := float64(bestTokens(&w, requests, w.GoodputUntil))
	perSecond := float64(andinaEngines) / (stepBaseTime.Seconds()/engineBatchSize + stepTimePerSequence.Seconds())
	if limit := perSecond * w.GoodputUntil.Seconds(); got > limit {
		t.Errorf("best possible is %v tokens, want at most the %v that the fleet can generate", got, limit)
	}
}

func TestMaxMinShares(t *testing.T) {
	got := maxMinShares([]float64{10, 2, 10}, []float64{1, 1, 2}, 14)
	want := []float64{4, 2, 8}
	if !cmp.Equal(got, want) {
		t.Errorf("max-min fair shares are %v, want %v", got, want)
	}
}

func TestJainIndex(t *testing.T) {
	if got := jainIndex([]float64{1, 1, 1, 1}); got != 1 {
		t.Errorf("Jain's index of equal shares: got %v, want 1", got)
	}
	if got := jainIndex([]float64{1, 0, 0, 0}); got != 0.25 {
		t.Errorf("Jain's index of four shares of which only one is not zero: got %v, want 0.25", got)
	}
}

func TestLengthsMean(t *testing.T) {
	l := LengthDistribution{Median: 100, Sigma: 0.5, Max: 100000}
	want := 100 * math.Exp(0.5*0.5/2)
	if got := l.mean(); math.Abs(got-want) > 0.03*want {
		t.Errorf("mean length is %v, want %v within 3%%", got, want)
	}
}
