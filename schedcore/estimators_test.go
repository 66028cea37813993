package schedcore

import (
	"math"
	"testing"
	"time"
)

func TestLineFindsSlopeAndOffset(t *testing.T) {
	var l line
	rng := random{state: 1}
	for range 500 {
		x := 1000 * rng.float()
		l.add(x, 0.05+x*0.0001)
	}
	for _, x := range []float64{0, 500, 2000} {
		if got, want := l.at(x), 0.05+x*0.0001; math.Abs(got-want) > 0.002 {
			t.Errorf("at %v: %v, want %v", x, got, want)
		}
	}
}

func TestHistogramQuantiles(t *testing.T) {
	var h histogram
	if h.quantile(0.5) != 0 {
		t.Error("a quantile without samples")
	}
	for v := range 1000 {
		h.add(v)
	}
	for _, q := range []float64{0.1, 0.5, 0.9} {
		got, want := float64(h.quantile(q)), q*1000
		if got < want || got > want*1.3 {
			t.Errorf("quantile %v is %v, want about %v", q, got, want)
		}
	}
}

func TestBucketsHoldTheirValues(t *testing.T) {
	for v := range 100000 {
		b := bucketOf(v)
		if v >= upperOf(b) || b > 0 && v < upperOf(b-1) {
			t.Fatalf("%d is not in bucket %d", v, b)
		}
	}
}

func TestRateForgets(t *testing.T) {
	var r rate
	for i := range 1000 {
		r.add(time.Duration(i)*10*time.Millisecond, 1)
	}
	if got := r.perSecond(10 * time.Second); got < 80 || got > 110 {
		t.Errorf("%v a second, want about 100", got)
	}
	if got := r.perSecond(60 * time.Second); got > 1 {
		t.Errorf("%v a second after a pause", got)
	}
}
