package usage

import (
	"testing"
	"testing/synctest"
	"time"
)

// newTestAccounts returns accounts whose time of day is ahead by what step says.
func newTestAccounts(name string, step *time.Duration) *Accounts {
	now := time.Now()
	clock := NewClock(func() time.Duration { return 0 }, now)
	clock.timeOfDay = func(now time.Time) time.Duration { return unixTime(now) + *step }
	return NewAccounts(AccountsOptions{Name: name, Address: address(1), Started: now, Clock: clock, Window: window})
}

// countOf returns the requests of a window that accounts received or counted.
func countOf(a *Accounts, number int64) int64 {
	total := int64(0)
	for _, n := range a.state(number, nil, time.Now()).sums {
		total += n
	}
	return total
}

// TestWrongClockDoesNotDisplaceCounts guards against counts that are dropped for good, at the
// instance and at the holder, since windows far in the future take up their place: the instance
// was alone for a while, and its clock was wrong.
func TestWrongClockDoesNotDisplaceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		step, right := time.Hour, time.Duration(0)
		a, holder := newTestAccounts("a", &step), newTestAccounts("holder", &right)
		count := func() {
			a.options.Clock.Refresh(time.Now())
			a.Count("org")
			for _, m := range a.OwnSums(time.Now(), false) {
				holder.ReceiveSums("a", m.Sums, time.Now())
			}
		}
		for range 2 * maxWindowsPerInstance {
			count()
			a.state(0, nil, time.Now()) // as it does if it holds the duties
			time.Sleep(window)
		}
		step = 0
		now := a.window(time.Duration(time.Now().UnixNano()))
		count()
		count()
		if own, there := countOf(a, now), countOf(holder, now); own != 2 || there != 2 {
			t.Errorf("after the clock is right again: %d requests are counted, and %d at the holder, want 2", own, there)
		}
		for _, m := range a.OwnSums(time.Now(), false) {
			for _, w := range m.Sums[0].Windows {
				if w.Window > now+1 {
					t.Fatalf("sums of window %d are sent in window %d", w.Window, now)
				}
			}
		}
	})
}

// TestSilentSumsKeepTheirTimes guards against a window that the holder takes for complete, since a
// deputy passes it on with a later window of the same instance of which it knows more.
func TestSilentSumsKeepTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 { // the order of the windows is random
			right := time.Duration(0)
			deputy, holder := newTestAccounts("deputy", &right), newTestAccounts("holder", &right)
			number := deputy.window(time.Duration(time.Now().UnixNano()))
			end := deputy.endOf(number).Milliseconds()
			for w, through := range map[int64]int64{number: end - 900, number + 1: end + 100} {
				deputy.ReceiveSums("a", []InstanceSums{{
					Instance: InstanceHash("a"), Started: 1, ThroughMs: through,
					Windows: []WindowSums{{Window: w, Sums: []Sum{{Organisation: 1, Count: 5}}}},
				}}, time.Now())
			}
			time.Sleep(window)
			for _, m := range deputy.SilentSums(time.Now()) {
				holder.ReceiveSums("deputy", m.Sums, time.Now())
			}
			if st := holder.state(number, nil, time.Now()); st.missing != 1 || countOf(holder, number) != 5 {
				t.Fatalf("%d instances are missing, with the sums %v; want 1 and 5 requests", st.missing, st.sums)
			}
		}
	})
}
