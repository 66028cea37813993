package reverseproxy

import (
	"context"
	"slices"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// allowSecondAttempts allows second attempts for slow answers, up to a share of the requests.
func (f *fixture) allowSecondAttempts(share float64) {
	f.handler.Hedging = hedging.New(hedging.Limits{All: share})
}

// learnDelays has the instance answer requests, so that it learns how long answers take.
func (f *fixture) learnDelays(path string) {
	f.t.Helper()
	for range 40 {
		f.expectStatus(f.do(f.request(path)), 200)
	}
	for _, s := range f.servers {
		s.ForgetReceived()
	}
}

// secondAttempts returns the counts since the given ones. While delays are learnt on a busy
// machine, some answers are slow and get second attempts too.
func (f *fixture) secondAttempts(since hedging.Counts) (begun, won, lost int64, wasted time.Duration) {
	now := f.handler.Hedging.Counts()
	return now.Begun - since.Begun, now.Results[hedging.Won] - since.Results[hedging.Won],
		now.Results[hedging.Lost] - since.Results[hedging.Lost], now.WastedTime - since.WastedTime
}

// newHedgingFixture returns a fixture that allows second attempts and has learnt the delays on
// a path.
func newHedgingFixture(t *testing.T, servers int, path string, usual platformtest.Behaviour) *fixture {
	f := newFixture(t, servers)
	f.allowSecondAttempts(0.2)
	f.setBehaviour(usual)
	f.learnDelays(path)
	return f
}

const (
	// stalledFor is longer than answers of the route pathSafe take before they get a second
	// attempt, and shorter than the time after which a silent server is left. stalledStreamFor
	// is the same of the route pathResumable.
	stalledFor       = 200 * time.Millisecond
	stalledStreamFor = 500 * time.Millisecond
)

// TestSlowAnswerIsCut guards against a caller that waits for a slow server although another one
// has its answer, against a loser that works on, and against a loser that counts as sound or
// as unreachable.
func TestSlowAnswerIsCut(t *testing.T) {
	for path, usual := range map[string]platformtest.Behaviour{pathSafe: {}, pathResumable: {Events: 3}} {
		t.Run(path, func(t *testing.T) {
			f := newHedgingFixture(t, 2, path, usual)
			slow := usual
			slow.Hang = true
			f.setBehaviour(slow)
			before := f.handler.Hedging.Counts()
			got, first := f.doWithOthers(f.request(path), usual)
			f.expectStatus(got, 200)
			f.waitForCancelled(f.servers[first])
			if begun, won, _, wasted := f.secondAttempts(before); begun != 1 || won != 1 || wasted <= 0 {
				t.Errorf("got %d second attempts of which %d won and %v wasted, want one that won, and wasted time", begun, won, wasted)
			}
			f.awaitNoLoad()
		})
	}
}

// TestSecondAttemptIsCancelledWhenFirstAnswers guards against a second server that works on
// after the first one has answered.
func TestSecondAttemptIsCancelledWhenFirstAnswers(t *testing.T) {
	f := newHedgingFixture(t, 2, pathSafe, platformtest.Behaviour{})
	f.setBehaviour(platformtest.Behaviour{Delay: stalledFor})
	before := f.handler.Hedging.Counts()
	got, first := f.doWithOthers(f.request(pathSafe), platformtest.Behaviour{Hang: true})
	f.expectStatus(got, 200)
	f.waitForCancelled(f.servers[1-first])
	if begun, _, lost, _ := f.secondAttempts(before); begun != 1 || lost != 1 {
		t.Errorf("got %d second attempts of which %d lost, want one that lost", begun, lost)
	}
}

// TestNoSecondAttempt guards against second attempts that must not be made: of requests that may
// run once, without a limit, without learnt delays and without a budget.
func TestNoSecondAttempt(t *testing.T) {
	slow := platformtest.Behaviour{Delay: stalledStreamFor, Events: 1}
	for name, c := range map[string]struct {
		path    string
		prepare func(*fixture)
		runs    int
	}{
		"allowed":       {pathResumable, func(*fixture) {}, 2},
		"unsafe":        {pathUnsafe, func(*fixture) {}, 1},
		"not resumable": {pathStream, func(*fixture) {}, 1},
		"no limit":      {pathResumable, func(f *fixture) { f.allowSecondAttempts(0) }, 1},
		"cold start":    {pathResumable, func(f *fixture) { f.allowSecondAttempts(0.2) }, 1},
		"no budget":     {pathResumable, func(f *fixture) { f.spendRetryBudget() }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newHedgingFixture(t, 2, pathResumable, platformtest.Behaviour{Events: 1})
			c.prepare(f)
			f.setBehaviour(slow)
			f.expectStatus(f.do(f.request(c.path)), 200)
			if ran := f.serversThatRan(); len(ran) != c.runs {
				t.Errorf("the request ran at %v, want %d servers", ran, c.runs)
			}
		})
	}
}

// TestRefusalAfterSecondAttemptPromisesNothing guards against a status that says that a request
// has not run, although one of two attempts may have.
func TestRefusalAfterSecondAttemptPromisesNothing(t *testing.T) {
	f := newHedgingFixture(t, 3, pathSafe, platformtest.Behaviour{})
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	got, _ := f.doWithOthers(f.request(pathSafe), platformtest.Behaviour{Hang: true})
	f.expectStatus(got, 504)
	if ran := f.serversThatRan(); len(ran) != 2 {
		t.Errorf("the request ran at %v, want the two servers that the route allows", ran)
	}
	for _, s := range f.servers {
		if len(s.Received()) > 0 {
			f.waitForCancelled(s)
		}
	}
}

// TestBothServersAnswerAtOnce guards against a late answer that reaches a caller, mixed or
// doubled answers and more runs than the route allows, if both servers answer at the moment at
// which one of them wins. It is of use with the race detector.
func TestBothServersAnswerAtOnce(t *testing.T) {
	for path, c := range map[string]struct {
		usual platformtest.Behaviour
		// after is about when the second attempt begins.
		after time.Duration
	}{
		pathSafe:      {platformtest.Behaviour{}, 100 * time.Millisecond},
		pathResumable: {platformtest.Behaviour{Events: 2}, 300 * time.Millisecond},
	} {
		t.Run(path, func(t *testing.T) {
			f := newHedgingFixture(t, 3, path, c.usual)
			for _, delay := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond} {
				sound, slow := c.usual, c.usual
				sound.Delay = delay
				slow.Delay = c.after + delay
				f.setBehaviour(sound)
				f.servers[0].SetBehaviour(slow)
				f.raceAnswers(path)
			}
			if f.handler.Hedging.Counts().Begun == 0 {
				t.Error("no second attempt was made, so nothing was tested")
			}
		})
	}
}

// raceAnswers sends requests at once and checks that each answer is whole and from one server.
func (f *fixture) raceAnswers(path string) {
	f.t.Helper()
	const requests = 20
	answers := make(chan response, requests)
	ids := make(map[string]bool)
	for range requests {
		r := f.request(path)
		id := r.Header.Get(platform.HeaderRequestID)
		ids[id] = true
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		f.t.Cleanup(cancel)
		go func() { answers <- f.do(r.WithContext(ctx)) }()
	}
	for range requests {
		got := <-answers
		f.expectStatus(got, 200)
		if !f.isWholeAnswer(path, got.body, ids) {
			f.t.Errorf("got the body %q, which isn't the whole answer of one server", got.body)
		}
	}
	runs := make(map[string]int)
	for _, s := range f.servers {
		for _, r := range s.Received() {
			runs[r.Header.Get(platform.HeaderRequestID)]++
		}
	}
	for id, n := range runs {
		if n > 2 {
			f.t.Errorf("request %s ran %d times, want at most the 2 that the route allows", id, n)
		}
	}
}

// isWholeAnswer reports whether a body is one server's answer to a request that was sent. Each
// request may be answered once.
func (f *fixture) isWholeAnswer(path, body string, ids map[string]bool) bool {
	for _, s := range f.servers {
		if path == pathResumable && body == streamBody(slices.Repeat([]string{s.ID}, 2)...) {
			return true
		}
		for id := range ids {
			if body == "body of "+id+" by "+s.ID {
				delete(ids, id)
				return true
			}
		}
	}
	return false
}

// TestBothAttemptsEndWithCaller guards against a second attempt that works on after the caller
// has left.
func TestBothAttemptsEndWithCaller(t *testing.T) {
	f := newHedgingFixture(t, 2, pathResumable, platformtest.Behaviour{Events: 1})
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	before := f.handler.Hedging.Counts()
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	if got := f.do(f.request(pathResumable).WithContext(ctx)); got.err == nil {
		t.Fatalf("got the response %+v for the cancelled request, want an error", got)
	}
	for _, s := range f.servers {
		f.waitForCancelled(s)
	}
	if begun, _, lost, _ := f.secondAttempts(before); begun != 1 || lost != 1 {
		t.Errorf("got %d second attempts of which %d lost, want one that lost", begun, lost)
	}
}
