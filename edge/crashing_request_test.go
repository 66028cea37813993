package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// badArrivals returns when requests with crashingBody began to run at servers, in order.
func (f *crashingFleet) badArrivals() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Time
	for _, s := range f.runs {
		for _, r := range s.Received() {
			if r.Ran && r.Body == crashingBody {
				times = append(times, r.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// TestRequestThatCrashesServersIsSentOnAndOn guards against one request that comes again and
// again, at any instance, and ends each server that begins to run it. It has no prompt.
func TestRequestThatCrashesServersIsSentOnAndOn(t *testing.T) {
	const (
		badRequests = 16
		badInterval = 400 * time.Millisecond
		// firstEnds is the number of ends after which noticeTime runs, and maxLate the number
		// of sends that the rules allow later than that.
		firstEnds  = 3
		noticeTime = 3 * time.Second
		maxLate    = 3
	)
	for _, path := range []string{platformtest.PathSafe, platformtest.PathUnsafe, platformtest.PathStream} {
		t.Run(path, func(t *testing.T) {
			store := platformtest.NewStore()
			t.Cleanup(store.Close)
			fleet := newCrashingFleet(t, store, 6)
			play := playCrashes(t, store, badRequests, badInterval, func(i *testInstance, n int) int {
				return i.roundTrip(testRequest{path: path, id: fmt.Sprint("bad-", n), body: crashingBody}).status
			}, func(i *testInstance, n int) int {
				return i.roundTrip(testRequest{path: path, id: fmt.Sprint("sound-", n), body: fmt.Sprint("body-", n)}).status
			})
			arrivals := fleet.badArrivals()
			late := 0
			for _, a := range arrivals {
				if a.After(arrivals[firstEnds-1].Add(noticeTime)) {
					late++
				}
			}
			if late > maxLate {
				t.Errorf("%d of %d sends of the request came later than 3 s after the third end, want at most %d; statuses: %v", late, len(arrivals), maxLate, play.statuses)
			}
			play.expectServed(t)
		})
	}
}
