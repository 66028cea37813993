package reverseproxy

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// heapPeak returns the largest heap, in bytes, while run runs.
func heapPeak(run func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// smallestInstanceBytes is the memory of the smallest instances of the users' sites.
const smallestInstanceBytes = 184 << 20

// TestEndlessBodiesFitIntoMemory guards against servers whose bodies or events have no
// end, which would fill the instance's memory when many requests meet them.
func TestEndlessBodiesFitIntoMemory(t *testing.T) {
	for _, test := range []struct {
		name, path string
		behaviour  platformtest.Behaviour
		requests   int
	}{
		{"body", pathSafe, platformtest.Behaviour{EndlessBody: "a"}, 40},
		{"error", pathSafe, platformtest.Behaviour{Status: 500, EndlessBody: "a"}, 40},
		{"event", pathStream, platformtest.Behaviour{EndlessBody: "a", Events: 1}, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(test.behaviour)
			peak := heapPeak(func() {
				var wait sync.WaitGroup
				for range test.requests {
					r := f.request(test.path)
					wait.Go(func() {
						if got := f.do(r); got.status == 200 && got.err == nil {
							t.Error("got a complete successful response, want none")
						}
					})
				}
				wait.Wait()
			})
			t.Logf("the heap grew to %d MB", peak>>20)
			if peak > smallestInstanceBytes {
				t.Errorf("the heap grew to %d MB, want at most %d MB", peak>>20, smallestInstanceBytes>>20)
			}
		})
	}
}

// TestEndlessRefusalDoesNotDelayRetry guards against a server that states that it did not
// run the request and then keeps its caller waiting for the end of the body.
func TestEndlessRefusalDoesNotDelayRetry(t *testing.T) {
	f := newFixture(t, 2)
	f.servers[0].SetBehaviour(platformtest.Behaviour{Refuse: true, EndlessBody: "a", EventPause: 20 * time.Millisecond})
	for range 10 {
		startTime := time.Now()
		got := f.do(f.request(pathUnsafe))
		if got.status != 200 || !strings.HasSuffix(got.body, "i-1") {
			t.Errorf("got status %d and body %.40q, want 200 from server i-1", got.status, got.body)
		}
		// The route's deadline is 1.5 s, its latency target 100 ms.
		if elapsed := time.Since(startTime); elapsed > 500*time.Millisecond {
			t.Errorf("the response took %v, want at most 500 ms", elapsed)
		}
	}
}
