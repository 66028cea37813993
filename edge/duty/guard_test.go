package duty

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/platform"
)

const testLease = 3 * time.Second

// fixedTerm is a term that ends at a time.
type fixedTerm struct{ until time.Time }

func (f *fixedTerm) Term(now time.Time) (Term, bool) {
	return Term{FencingToken: 7, ValidUntil: f.until}, now.Before(f.until)
}

// runGuard runs the function test in virtual time with a term of the lease's length.
func runGuard(t *testing.T, test func(t *testing.T, g *Guard, term *fixedTerm)) {
	synctest.Test(t, func(t *testing.T) {
		term := &fixedTerm{until: time.Now().Add(testLease)}
		test(t, NewGuard(GuardOptions{Terms: func() Terms { return term }, Name: "a", CallsPerSecond: 10, LeaseTime: testLease}), term)
	})
}

// TestNoCallOutsideTheTerm guards against calls of an instance that holds the duties no more, and
// against calls that go on after the term.
func TestNoCallOutsideTheTerm(t *testing.T) {
	runGuard(t, func(t *testing.T, g *Guard, term *fixedTerm) {
		time.Sleep(testLease - time.Second)
		err := g.Do(t.Context(), "x", func(ctx context.Context, c platform.DutyCall) error {
			if c != (platform.DutyCall{Holder: "a", FencingToken: 7}) {
				t.Errorf("got the call %+v", c)
			}
			<-ctx.Done()
			return platform.ErrDutyUncertain
		})
		if !errors.Is(err, platform.ErrDutyUncertain) || time.Now().After(term.until) {
			t.Errorf("a call without an answer: error %v, and %v after the term's end", err, time.Since(term.until))
		}
		never := func(context.Context, platform.DutyCall) error { t.Error("a call was made"); return nil }
		if err := g.Do(t.Context(), "x", never); !errors.Is(err, ErrNotHolder) {
			t.Errorf("after the term: error %v, want ErrNotHolder", err)
		}
		term.until = time.Now().Add(minCallTime / 2)
		if err := g.Do(t.Context(), "x", never); !errors.Is(err, ErrTermEnds) {
			t.Errorf("at the end of the term: error %v, want ErrTermEnds", err)
		}
		if g.Quiet() {
			t.Error("the lease may be released while a call may still be executed")
		}
		time.Sleep(testLease)
		if !g.Quiet() {
			t.Error("the lease may not be released although no call is left")
		}
	})
}

// TestCallsComeOneByOneWithinTheRate guards against a holder that overruns the platform.
func TestCallsComeOneByOneWithinTheRate(t *testing.T) {
	runGuard(t, func(t *testing.T, g *Guard, term *fixedTerm) {
		term.until = term.until.Add(time.Hour)
		begin, open := time.Now(), 0
		done := make(chan error)
		for range 40 {
			go func() {
				done <- g.Do(t.Context(), "x", func(context.Context, platform.DutyCall) error {
					open++
					if open > 1 {
						t.Error("two calls at once")
					}
					time.Sleep(time.Millisecond)
					open--
					return nil
				})
			}()
		}
		for range 40 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(begin); took < 3*time.Second {
			t.Errorf("40 calls in %v, want at most 10 a second", took)
		}
	})
}
