package schedcore

import (
	"math"
	"testing"
	"time"
)

func TestLineFitsSlopeAndOffset(t *testing.T) {
	var l decayingLine
	rng := random{state: 1}
	for range 500 {
		x := 1000 * rng.unitFloat()
		l.add(x, 0.05+x*0.0001)
	}
	for _, x := range []float64{0, 500, 2000} {
		if got, want := l.predict(x), 0.05+x*0.0001; math.Abs(got-want) > 0.002 {
			t.Errorf("predict(%v) = %v, want %v", x, got, want)
		}
	}
}

func TestHistogramQuantiles(t *testing.T) {
	var h histogram
	if h.quantile(0.5) != 0 {
		t.Error("the quantile without samples is not 0, want 0")
	}
	for v := range 1000 {
		h.add(v)
	}
	for _, q := range []float64{0.1, 0.5, 0.9} {
		got, want := float64(h.quantile(q)), q*1000
		if got < want || got > want*1.3 {
			t.Errorf("quantile %v is %v, want at least %v and at most 1.3 times as much", q, got, want)
		}
	}
}

func TestBucketBoundsContainTheirValues(t *testing.T) {
	for v := range 100000 {
		b := bucketOf(v)
		if v >= bucketEnd(b) || b > 0 && v < bucketEnd(b-1) {
			t.Fatalf("value %d was put into bucket %d, want a bucket whose bounds contain the value", v, b)
		}
	}
}

func TestRateDecays(t *testing.T) {
	var r decayingRate
	for i := range 1000 {
		r.add(time.Duration(i)*10*time.Millisecond, 1)
	}
	if got := r.perSecond(10 * time.Second); got < 80 || got > 110 {
		t.Errorf("rate %v per second, want 80 to 110", got)
	}
	if got := r.perSecond(60 * time.Second); got > 1 {
		t.Errorf("rate %v per second after a pause of 50 s, want at most 1", got)
	}
}
