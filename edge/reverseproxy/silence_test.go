package reverseproxy

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// soundPause is longer than an instance waits for an event before it asks another server,
// and shorter than callers wait for it.
const soundPause = 1500 * time.Millisecond

// pausingStream is a sound stream whose server pauses once.
var pausingStream = platformtest.Behaviour{Events: 3, EventPause: soundPause, PauseAfterEvent: 1}

// slowWhole is a sound response whose header comes later than an instance waits before it
// asks another server.
var slowWhole = platformtest.Behaviour{Delay: 600 * time.Millisecond}

// spendRetryBudget leaves no retry in the budget of the fixture's service.
func (f *fixture) spendRetryBudget() {
	for f.handler.Selector.AllowRetry("s") {
	}
}

// doWithOthers sends a request, and sets the behaviour of the servers that did not get it
// as soon as one server has it. It returns the response and the index of that server.
func (f *fixture) doWithOthers(r *http.Request, others platformtest.Behaviour) (response, int) {
	f.t.Helper()
	return f.doMeanwhile(r, func(first int) { f.setOthers(first, others) })
}

// doMeanwhile sends a request, and calls change with the index of the server that got it
// first. It returns the response and this index.
func (f *fixture) doMeanwhile(r *http.Request, change func(first int)) (response, int) {
	f.t.Helper()
	done := make(chan response, 1)
	go func() { done <- f.do(r) }()
	first := f.firstToReceive()
	change(first)
	return <-done, first
}

// setOthers sets the behaviour of all servers but the one with the given index.
func (f *fixture) setOthers(except int, b platformtest.Behaviour) {
	for n, s := range f.servers {
		if n != except {
			s.SetBehaviour(b)
		}
	}
}

// firstToReceive waits until one server has a request, and returns its index.
func (f *fixture) firstToReceive() int {
	f.t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		for n, s := range f.servers {
			if len(s.Received()) > 0 {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("no server got the request within 2 s")
	return 0
}

// waitForCancelled waits until the server has seen a caller leave, for 400 ms at most.
func (f *fixture) waitForCancelled(s *platformtest.BackendServer) {
	f.t.Helper()
	began := time.Now()
	for s.Cancelled() == 0 {
		if time.Since(began) > 400*time.Millisecond {
			f.t.Errorf("server %s still works on the request after 400 ms, want it closed", s.ID)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSilentSoundServerIsWaitedForWhenNoOtherCanGoOn guards against giving up a request
// whose server is silent for a while, although no other server can go on with it.
func TestSilentSoundServerIsWaitedForWhenNoOtherCanGoOn(t *testing.T) {
	requests := map[string]struct {
		path   string
		sound  platformtest.Behaviour
		events int
	}{
		"stream":            {pathResumable, pausingStream, 3},
		"before the header": {pathSafe, slowWhole, 0},
	}
	situations := map[string]struct {
		servers     int
		budgetSpent bool
		keyRevoked  bool
		others      platformtest.Behaviour
	}{
		"one server":      {servers: 1},
		"budget spent":    {servers: 2, budgetSpent: true},
		"key revoked":     {servers: 2, keyRevoked: true},
		"others refuse":   {servers: 3, others: platformtest.Behaviour{Refuse: true}},
		"other fails":     {servers: 2, others: platformtest.Behaviour{Status: 500}},
		"other hangs":     {servers: 2, others: platformtest.Behaviour{Hang: true}},
		"other is slow":   {servers: 2, others: platformtest.Behaviour{Delay: 1200 * time.Millisecond, Events: 3}},
		"other unstamped": {servers: 2, others: platformtest.Behaviour{NoStamp: true, Events: 3}},
	}
	for kind, r := range requests {
		for name, c := range situations {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, c.servers)
				f.setBehaviour(r.sound)
				got, first := f.doMeanwhile(f.request(r.path), func(first int) {
					if c.budgetSpent {
						f.spendRetryBudget()
					}
					if c.keyRevoked {
						f.configure(2, "another")
					}
					f.setOthers(first, c.others)
				})
				f.expectStatus(got, 200)
				id := f.servers[first].ID
				want := "body of request-1 by " + id
				if r.events > 0 {
					want = streamBody(slices.Repeat([]string{id}, r.events)...)
				}
				if got.body != want {
					t.Errorf("got the body %q, want %q because the server was sound", got.body, want)
				}
				if n := len(f.serversThatRan()); n > 2 {
					t.Errorf("got %d runs, want at most the 2 that the route allows", n)
				}
			})
		}
	}
}

// TestSilentServerIsLeftForOneThatAnswers guards against a server that stays silent, which
// must not hold up a request that another server can go on with.
func TestSilentServerIsLeftForOneThatAnswers(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		f := newFixture(t, 2)
		f.setBehaviour(platformtest.Behaviour{Events: 3, EventPause: 3 * time.Second, PauseAfterEvent: 1})
		began := time.Now()
		got, first := f.doWithOthers(f.request(pathResumable), platformtest.Behaviour{Events: 3})
		f.expectStatus(got, 200)
		silent, other := f.servers[first].ID, f.servers[1-first].ID
		if want := streamBody(silent, other, other); got.body != want {
			t.Errorf("got the body %q, want %q", got.body, want)
		}
		if took := time.Since(began); took > 1900*time.Millisecond {
			t.Errorf("the stream took %v, want less than the 2 s after which callers leave", took)
		}
	})
	t.Run("before the header", func(t *testing.T) {
		f := newFixture(t, 2)
		f.setBehaviour(platformtest.Behaviour{Hang: true})
		got, first := f.doWithOthers(f.request(pathSafe), platformtest.Behaviour{})
		f.expectStatus(got, 200)
		f.waitForCancelled(f.servers[first])
	})
}

// TestRequestGoesOnWhereItIsWhenSilentServerBreaksOff guards against losing a request whose
// silent server breaks off while another server is already at work on it.
func TestRequestGoesOnWhereItIsWhenSilentServerBreaksOff(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 3, EventPause: 1400 * time.Millisecond, PauseAfterEvent: 1, CutAfterEvents: 1})
	got, first := f.doWithOthers(f.request(pathResumable), platformtest.Behaviour{Events: 3, Delay: 500 * time.Millisecond})
	f.expectStatus(got, 200)
	broken, other := f.servers[first].ID, f.servers[1-first].ID
	if want := streamBody(broken, other, other); got.body != want {
		t.Errorf("got the body %q, want %q", got.body, want)
	}
	if n := len(f.serversThatRan()); n != 2 {
		t.Errorf("got %d runs, want the 2 that the route allows", n)
	}
}

// TestServerIsCancelledWhenSilentOneSpeaks guards against two servers at work on one stream.
func TestServerIsCancelledWhenSilentOneSpeaks(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 4, EventPause: soundPause, PauseAfterEvent: 1})
	done := make(chan response, 1)
	go func() { done <- f.do(f.request(pathResumable)) }()
	first := f.firstToReceive()
	f.setOthers(first, platformtest.Behaviour{Hang: true})
	time.Sleep(soundPause)
	f.waitForCancelled(f.servers[1-first])
	f.expectStatus(<-done, 200)
}

// TestAllServersAreCancelledWhenCallerLeaves guards against a second attempt that works on
// after the caller has left.
func TestAllServersAreCancelledWhenCallerLeaves(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	got := f.do(f.request(pathSafe).WithContext(ctx))
	if got.err == nil {
		t.Fatalf("got the response %+v for the cancelled request, want an error", got)
	}
	if n := len(f.serversThatRan()); n != 2 {
		t.Errorf("got %d runs, want 2 because the first server was silent", n)
	}
	for _, s := range f.servers {
		f.waitForCancelled(s)
	}
}

// TestSilentServersAreBounded guards against a request that hangs at more servers than its
// route allows, or past its deadline.
func TestSilentServersAreBounded(t *testing.T) {
	f := newFixture(t, 4)
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	// A budget shows only once its service had a request.
	f.handler.Selector.CountRequest("s")
	before := f.handler.Selector.RetryBudgetsLeft(time.Now())[0].Retries
	began := time.Now()
	f.expectStatus(f.do(f.request(pathSafe)), 504)
	if took := time.Since(began); took > 1900*time.Millisecond {
		t.Errorf("the response took %v, want at most 1.9 s because the route's timeout is 1.5 s", took)
	}
	if n := len(f.serversThatRan()); n != 2 {
		t.Errorf("got %d runs, want the 2 that the route allows", n)
	}
	after := f.handler.Selector.RetryBudgetsLeft(time.Now())[0].Retries
	if before-after > 1 {
		t.Errorf("the request took %d retries from the budget, want 1", before-after)
	}
	for _, s := range f.servers {
		if len(s.Received()) > 0 {
			f.waitForCancelled(s)
		}
	}
}

// TestAttemptsAreCountedOnce guards against load that stays at a server in the balancer's
// account after a second attempt.
func TestAttemptsAreCountedOnce(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(pausingStream)
	f.expectStatus(f.do(f.request(pathResumable)), 200)
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	f.expectStatus(f.do(f.request(pathSafe)), 504)
	for _, report := range f.handler.Selector.Reports(time.Now()).Servers {
		if report.Load.Running != 0 || report.Load.Waiting != 0 {
			t.Errorf("server %x has the load %+v after all requests ended, want none", report.Key, report.Load)
		}
	}
}

// TestEventsAreNotHeldBackBySecondAttempt guards against an event that waits for the end of
// a second attempt.
func TestEventsAreNotHeldBackBySecondAttempt(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 3, EventPause: soundPause, PauseAfterEvent: 1})
	resp, err := http.DefaultClient.Do(f.request(pathResumable))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f.setOthers(f.firstToReceive(), platformtest.Behaviour{Hang: true})
	lines := bufio.NewReader(resp.Body)
	began := time.Now()
	for range 4 {
		if _, err := lines.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > soundPause+150*time.Millisecond {
		t.Errorf("the second event came after %v, want about %v", took, soundPause)
	}
	if _, err := io.Copy(io.Discard, lines); err != nil {
		t.Errorf("the stream broke off: %v", err)
	}
}

// TestEventsStayInOrderWhenBothServersSpeak guards against a missing or repeated event if a
// silent server speaks at the moment at which another one takes its place.
func TestEventsStayInOrderWhenBothServersSpeak(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 3, EventPause: eventPatience, PauseAfterEvent: 1})
	requests := make([]*http.Request, 40)
	for n := range requests {
		requests[n] = f.request(pathResumable)
	}
	responses := make(chan response, len(requests))
	for _, r := range requests {
		go func() { responses <- f.do(r) }()
	}
	allowed := []string{
		streamBody("i-0", "i-0", "i-0"), streamBody("i-0", "i-1", "i-1"),
		streamBody("i-1", "i-1", "i-1"), streamBody("i-1", "i-0", "i-0"),
	}
	for range requests {
		got := <-responses
		f.expectStatus(got, 200)
		if !slices.Contains(allowed, got.body) {
			t.Errorf("got the body %q, want three events in order, the first from one server and the others from one server", got.body)
		}
	}
}
