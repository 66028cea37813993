package usage

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxUsageBytes is what a datagram of 1,400 bytes leaves for a message, beside its sender.
const maxUsageBytes = 1250

// TestMessagesFitIntoDatagrams guards against sums that are never received because their datagram
// is too large, and against sums that get lost when they are divided.
func TestMessagesFitIntoDatagrams(t *testing.T) {
	for _, shape := range []struct{ instances, windows, sums int }{{1, 1, 1000}, {1, 16, 40}, {200, 3, 24}, {200, 1, 0}, {60, 4, 1}} {
		var all []InstanceSums
		for n := range shape.instances {
			s := InstanceSums{Instance: math.MaxUint64 - uint64(n), Started: math.MaxInt64, ThroughMs: math.MaxInt64, Final: true}
			for w := range shape.windows {
				window := WindowSums{Window: math.MaxInt64 - int64(w)}
				for org := range shape.sums {
					window.Sums = append(window.Sums, Sum{Organisation: math.MaxUint32 - uint32(org), Count: math.MaxUint32})
				}
				s.Windows = append(s.Windows, window)
			}
			all = append(all, s)
		}
		sums, windows := 0, make(map[[2]int64]bool)
		for _, m := range split(all) {
			raw, err := cbor.Marshal(m)
			if err != nil || len(raw) > maxUsageBytes {
				t.Errorf("%+v: a message of %d bytes, error %v", shape, len(raw), err)
			}
			for _, s := range m.Sums {
				for _, w := range s.Windows {
					windows[[2]int64{int64(s.Instance), w.Window}] = true
					sums += len(w.Sums)
				}
			}
		}
		if want := shape.instances * shape.windows; len(windows) != want || sums != want*shape.sums {
			t.Errorf("%+v: %d windows and %d sums, want %d and %d", shape, len(windows), sums, want, want*shape.sums)
		}
	}
}

// TestClockFollowsTheMajority guards against windows that move because some clocks are wrong, or
// because the machine was suspended.
func TestClockFollowsTheMajority(t *testing.T) {
	start := time.Now()
	suspended, step := time.Duration(0), time.Duration(0)
	c := NewClock(func() time.Duration { return suspended }, start)
	c.timeOfDay = func(now time.Time) time.Duration { return unixTime(now) + suspended + step }
	check := func(what string, now time.Time) {
		t.Helper()
		c.Refresh(now)
		if wrong := c.Unix(now) - unixTime(now) - suspended; wrong.Abs() > 2*time.Millisecond {
			t.Errorf("%s: true time is off by %v", what, wrong)
		}
	}
	now := start
	hear := func(wrong ...time.Duration) {
		now = now.Add(100 * time.Millisecond)
		for peer, w := range wrong {
			c.Observe(uint64(peer), (unixTime(now) + suspended + w).Milliseconds(), now)
		}
	}
	hear(0, 0, 0, 0)
	check("all clocks right", now)
	step = -2400 * time.Millisecond
	check("own clock stepped", now)
	hear(0, 0, 0, 2400*time.Millisecond)
	check("another one stepped too", now)
	suspended = 7 * time.Second
	check("after a suspension", now)
	step = 0
	now = now.Add(time.Minute)
	check("no peers any more", now)
}
