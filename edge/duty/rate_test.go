package duty

import (
	"testing"
	"time"
)

// Guards against more calls within a second than the platform takes: it refuses those beyond.
func TestCallsOfASecondStayWithinTheRate(t *testing.T) {
	for _, perSecond := range []float64{1, 2, 5, 10, 50, 200} {
		limiter := NewGuard(GuardOptions{Terms: func() Terms { return nil }, Name: "a", CallsPerSecond: perSecond, LeaseTime: time.Second}).limiter
		calls, start := 0, time.Now().Add(time.Minute)
		for at := time.Duration(0); at < time.Second; at += time.Millisecond {
			for limiter.AllowN(start.Add(at), 1) {
				calls++
			}
		}
		if float64(calls) > perSecond {
			t.Errorf("%d calls within a second, want at most %v", calls, perSecond)
		}
	}
}
