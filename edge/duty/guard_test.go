package duty

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/platform"
)

// fixedTerm is a term that ends at a fixed time.
type fixedTerm struct{ until time.Time }

func (f fixedTerm) Term(now time.Time) (Term, bool) {
	return Term{FencingToken: 7, ValidUntil: f.until}, now.Before(f.until)
}

// runGuard runs the function test in virtual time, with a guard whose term lasts for the given time.
func runGuard(t *testing.T, term time.Duration, test func(t *testing.T, g *Guard)) {
	synctest.Test(t, func(t *testing.T) {
		terms := fixedTerm{time.Now().Add(term)}
		test(t, NewGuard(GuardOptions{Terms: func() Terms { return terms }, Name: "i", CallsPerSecond: 50, LeaseTime: 3 * time.Second}))
	})
}

// slowCall returns a call that is answered after the given time, unless it is given up before.
func slowCall(answer time.Duration) func(context.Context, platform.DutyCall) error {
	return func(ctx context.Context, _ platform.DutyCall) error {
		select {
		case <-ctx.Done():
			return platform.ErrDutyUncertain
		case <-time.After(answer):
			return nil
		}
	}
}

// TestStopLetsTheCallEnd guards against a planned stop that breaks off the call under way: the
// lease could not be released, and nobody would hold the duties for its duration.
func TestStopLetsTheCallEnd(t *testing.T) {
	runGuard(t, time.Minute, func(t *testing.T, g *Guard) {
		ctx, stop := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- g.Do(ctx, "s", slowCall(200*time.Millisecond)) }()
		time.Sleep(50 * time.Millisecond)
		stop()
		if !g.Quiet() {
			t.Error("a call is left that may be executed later, want it to have ended")
		}
		if err := <-result; err != nil {
			t.Errorf("the call failed: %v", err)
		}
		if err := g.Do(ctx, "s", slowCall(0)); !errors.Is(err, context.Canceled) {
			t.Errorf("after the stop: got the error %v, want no call", err)
		}
	})
}

// TestCallEndsWithTheTerm guards against calls that arrive after the term, and against a release
// of the lease while one of them may still do so.
func TestCallEndsWithTheTerm(t *testing.T) {
	const term = time.Second
	runGuard(t, term, func(t *testing.T, g *Guard) {
		begin := time.Now()
		if err := g.Do(t.Context(), "s", slowCall(time.Hour)); !errors.Is(err, platform.ErrDutyUncertain) || time.Since(begin) > term {
			t.Errorf("got the error %v after %v, want no answer and at most the term", err, time.Since(begin))
		}
		if g.Quiet() {
			t.Error("quiet right after a call without an answer")
		}
		if err := g.Do(t.Context(), "s", slowCall(0)); !errors.Is(err, ErrNotHolder) {
			t.Errorf("after the term: got the error %v, want ErrNotHolder", err)
		}
		time.Sleep(3 * time.Second)
		if !g.Quiet() {
			t.Error("not quiet after the lease's duration")
		}
	})
	runGuard(t, minCallTime/2, func(t *testing.T, g *Guard) {
		if err := g.Do(t.Context(), "s", slowCall(0)); !errors.Is(err, ErrTermEnds) {
			t.Errorf("right before the end: got the error %v, want ErrTermEnds", err)
		}
	})
}
