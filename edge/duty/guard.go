package duty

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/platform"
)

const (
	// callTimeout bounds one call.
	callTimeout = 1500 * time.Millisecond
	// minCallTime is the least time that must be left of the term for a call to be made.
	minCallTime = 100 * time.Millisecond
	// rateShare is the share of the platform's rate that one holder uses. Its predecessor may
	// have used up some of it.
	rateShare = 0.8
)

var (
	// ErrNotHolder reports a call that was not made, because this instance does not hold the
	// duties.
	ErrNotHolder = errors.New("duty: not the holder")
	// ErrTermEnds reports a call that was not made, because too little is left of the term.
	ErrTermEnds = errors.New("duty: the term is about to end")
)

// GuardOptions configures a Guard. All fields are required.
type GuardOptions struct {
	// Terms is usually the Holder. It is a function, because the Holder needs the Guard's Quiet.
	Terms func() Terms
	// Name is the name under which this instance makes the calls.
	Name string
	// CallsPerSecond is the number of calls a second that the platform takes from all holders.
	CallsPerSecond float64
	// LeaseTime is how long after a call without an answer the lease is not released.
	LeaseTime time.Duration
}

// Guard makes duty calls. It is safe for concurrent use.
type Guard struct {
	options GuardOptions
	limiter *rate.Limiter
	// turn holds one value while a call is made.
	turn chan struct{}
	// unanswered is when a call was last given up without an answer. Only the caller that has
	// the turn uses it.
	unanswered time.Time
}

// NewGuard returns a guard.
func NewGuard(o GuardOptions) *Guard {
	limit := rateShare * o.CallsPerSecond
	// A burst and the calls of the second that it begins stay within CallsPerSecond.
	burst := max(1, int(o.CallsPerSecond-limit))
	return &Guard{options: o, limiter: rate.NewLimiter(rate.Limit(limit), burst), turn: make(chan struct{}, 1)}
}

// Do makes a call for a subject, which is a name for logs and errors, once the calls before it
// have ended. It makes no call if ctx has ended, or if the term doesn't allow it; then it returns
// ErrNotHolder or ErrTermEnds. The call's own context ends with the term, and not with ctx.
// Otherwise Do returns what the call returns, which must be platform.ErrDutyUncertain if it got no
// answer.
func (g *Guard) Do(ctx context.Context, subject string, call func(ctx context.Context, c platform.DutyCall) error) error {
	select {
	case g.turn <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), subject)
	}
	defer func() { <-g.turn }()
	if err := g.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, subject)
	}
	now := time.Now()
	term, held := g.options.Terms().Term(now)
	if !held {
		return errors.Wrap(ErrNotHolder, subject)
	}
	left := term.ValidUntil.Sub(now)
	if left < minCallTime {
		return errors.Wrap(ErrTermEnds, subject)
	}
	// A planned stop doesn't break the call off, or the lease could not be released at once.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(left, callTimeout))
	defer cancel()
	err := call(ctx, platform.DutyCall{Holder: g.options.Name, FencingToken: term.FencingToken})
	if errors.Is(err, platform.ErrDutyUncertain) {
		g.unanswered = time.Now()
	}
	if err != nil {
		return errors.Wrap(err, subject)
	}
	return nil
}

// Quiet waits for the call that is under way, and reports whether no call is left that may be
// executed later. After the end of the term no new call begins.
func (g *Guard) Quiet() bool {
	g.turn <- struct{}{}
	defer func() { <-g.turn }()
	return g.unanswered.IsZero() || time.Since(g.unanswered) >= g.options.LeaseTime
}
