package reverseproxy

import (
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// allPaths are the paths of all kinds of requests.
var allPaths = []string{pathSafe, pathUnsafe, pathStream, pathResumable}

// TestServerThatSaysItLeavesGetsRequests guards against sends to a server that has said that it
// leaves, while its entry still lists it as ready.
func TestServerThatSaysItLeavesGetsRequests(t *testing.T) {
	f := newFixture(t, 3)
	f.setBehaviour(platformtest.Behaviour{Events: 2})
	f.servers[0].SetBehaviour(platformtest.Behaviour{Events: 2, Leaving: true})
	for n := range 80 {
		f.expectStatus(f.do(f.request(allPaths[n%len(allPaths)])), 200)
	}
	if got := len(f.servers[0].Received()); got != 1 {
		t.Errorf("the leaving server got %d requests, want one, after whose answer it gets no more", got)
	}
}

// TestOnlyServerThatSaysItLeavesRefusesAtOnce guards against callers who wait for a server that
// gets nothing new.
func TestOnlyServerThatSaysItLeavesRefusesAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Leaving: true})
	f.expectStatus(f.do(f.request(pathUnsafe)), 200)
	began := time.Now()
	got := f.do(f.request(pathUnsafe))
	f.expectStatus(got, 503)
	if took := time.Since(began); took > 100*time.Millisecond || got.header.Get("Retry-After") == "" {
		t.Errorf("refused after %v with the header %v, want at once and with a time to return", took, got.header)
	}
}

// TestServersThatAskForTimeGetRequests guards against sends to servers whose refusal said when to
// come back, also if there are no others.
func TestServersThatAskForTimeGetRequests(t *testing.T) {
	for _, resting := range []int{1, 3} {
		t.Run(fmt.Sprint(resting), func(t *testing.T) {
			const asked, interval = 1500 * time.Millisecond, 8 * time.Millisecond
			f := newFixture(t, 3)
			f.setBehaviour(platformtest.Behaviour{Events: 2})
			for _, s := range f.servers[:resting] {
				s.SetBehaviour(platformtest.Behaviour{Refuse: true, RetryAfter: "1.5"})
			}
			for n, end := 0, time.Now().Add(2*asked); time.Now().Before(end); n++ {
				if got := f.do(f.request(allPaths[n%len(allPaths)])); got.status == 503 && got.header.Get("Retry-After") == "" {
					t.Errorf("got %+v, want a time to return", got)
				}
				time.Sleep(interval)
			}
			for _, s := range f.servers[:resting] {
				f.expectLeftAlone(s, asked)
			}
		})
	}
}

// expectLeftAlone checks that at most two requests reached a server from half a second after
// each of its refusals to the end of the time that it asked for.
func (f *fixture) expectLeftAlone(s *platformtest.BackendServer, asked time.Duration) {
	f.t.Helper()
	received := s.Received()
	if len(received) == 0 {
		f.t.Errorf("%s got no request, so nothing was shown", s.ID)
	}
	for _, refused := range received {
		late := 0
		for _, r := range received {
			if after := r.At.Sub(refused.At); after > 500*time.Millisecond && after < asked {
				late++
			}
		}
		if late > 2 {
			f.t.Errorf("%d requests reached %s between half a second after a refusal and its end, want at most two", late, s.ID)
			return
		}
	}
}
