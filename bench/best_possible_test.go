package bench

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBestPossibleIsAllWhenItFits(t *testing.T) {
	w := short(CovorAuction(), 50*time.Second)
	requests := generate(&w, testSeed)
	asked := 0
	for _, r := range requests {
		asked += r.answer
	}
	if got := bestTokens(&w, requests, w.Duration); got != asked {
		t.Errorf("best possible is %d tokens, callers asked for %d", got, asked)
	}
}

// TestBestPossibleInOverload compares with the fleet's rate: at ten times
// capacity the fleet is full from the burst's begin to its end.
func TestBestPossibleInOverload(t *testing.T) {
	w := LowBurst()
	requests := generate(&w, testSeed)
	got := float64(bestTokens(&w, requests, w.GoodputUntil))
	perSecond := float64(andinaEngines) / (stepBase.Seconds()/engineBatch + stepPerSequence.Seconds())
	if most := perSecond * w.GoodputUntil.Seconds(); got > most {
		t.Errorf("best possible is %v tokens, the fleet can make %v", got, most)
	}
}

func TestMaxMin(t *testing.T) {
	got := maxMin([]float64{10, 2, 10}, []float64{1, 1, 2}, 14)
	want := []float64{4, 2, 8}
	if !cmp.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestJain(t *testing.T) {
	if got := jain([]float64{1, 1, 1, 1}); got != 1 {
		t.Errorf("equal shares give %v, want 1", got)
	}
	if got := jain([]float64{1, 0, 0, 0}); got != 0.25 {
		t.Errorf("one of four gives %v, want 0.25", got)
	}
}

func TestLengths(t *testing.T) {
	l := Lengths{Median: 100, Sigma: 0.5, Max: 100000}
	want := 100 * math.Exp(0.5*0.5/2)
	if got := l.mean(); math.Abs(got-want) > 0.03*want {
		t.Errorf("mean is %v, want %v within 3%%", got, want)
	}
}
