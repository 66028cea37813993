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
