package edge

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// post sends a request with a body, and returns the status of the response, or 0 if it was
// broken off.
func (r *testInstance) post(path, id, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Load().CallersAddress.String()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

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
			store.Put("config", "main", configurationText(1))
			port := freePort(t, "127.0.0.2")
			var instances []*testInstance
			for _, ip := range []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"} {
				instances = append(instances, startInstance(t, ip, port, store.URL, 1))
			}
			for _, i := range instances {
				await(t, "ready", i.isReady)
			}
			stop := make(chan struct{})
			var sound, served int
			var wait sync.WaitGroup
			wait.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					sound++
					if instances[n%len(instances)].post(path, fmt.Sprint("sound-", n), fmt.Sprint("body-", n)) == http.StatusOK {
						served++
					}
				}
			})
			time.Sleep(time.Second)
			statuses := make([]int, badRequests)
			for n := range badRequests {
				wait.Go(func() { statuses[n] = instances[n%len(instances)].post(path, fmt.Sprint("bad-", n), crashingBody) })
				time.Sleep(badInterval)
			}
			close(stop)
			wait.Wait()
			arrivals := fleet.badArrivals()
			late := 0
			for _, a := range arrivals {
				if a.After(arrivals[firstEnds-1].Add(noticeTime)) {
					late++
				}
			}
			if late > maxLate {
				t.Errorf("%d of %d sends of the request came later than 3 s after the third end, want at most %d; statuses: %v", late, len(arrivals), maxLate, statuses)
			}
			if last := statuses[badRequests-1]; last != http.StatusServiceUnavailable {
				t.Errorf("the last one got status %d, want 503", last)
			}
			if 10*served < 9*sound {
				t.Errorf("%d of %d sound requests of the same route were served, want nine tenths", served, sound)
			}
		})
	}
}
