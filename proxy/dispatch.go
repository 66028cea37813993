package proxy

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
)

// Causes for which an attempt's context ends.
var (
	errDeadline  = errors.New("the request's deadline passed")
	errPreempted = errors.New("the attempt was preempted")
	errRefused   = errors.New("the scheduler ended the request")
	errStalled   = errors.New("the backend server sent nothing in time")
	errLeft      = errors.New("the caller left")
)

// exchange sends attempts and relays their answer.
type exchange interface {
	// attempt runs one attempt and returns after it ended.
	attempt(ctx context.Context, session scheduler.Session, server netip.AddrPort, v scheduler.Decision) result
}

// result is how an attempt ended.
type result struct {
	completed bool
	end       schedcore.Completion
	failure   schedcore.Failure
	// final ends the request although it was not completed, or is nil.
	final *Refusal
}

// dispatch is one request's way through verdicts and attempts.
type dispatch struct {
	proxy   *Proxy
	call    *call
	session scheduler.Session
	// attempted is the number of the last attempt that began.
	attempted uint32
	// mayHaveStarted is set once any attempt may have run.
	mayHaveStarted bool
	// pending is a verdict that came during an attempt.
	pending *scheduler.Decision
}

// dispatch brings the call to its end. It returns nil if it was completed.
func (p *Proxy) dispatch(ctx context.Context, c *call, x exchange, t schedcore.Ticket) *Refusal {
	if c.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, c.arrived.Add(c.deadline), errDeadline)
		defer cancel()
	}
	d := &dispatch{proxy: p, call: c, session: p.Scheduler.Submit(ctx, t)}
	for {
		verdict, ok := d.next(ctx)
		if !ok {
			d.session.Withdraw()
			return d.ended(ctx)
		}
		if verdict.Kind == scheduler.Refused {
			return d.refused(verdict)
		}
		if verdict.Kind != scheduler.Granted || verdict.Attempt <= d.attempted {
			continue
		}
		if done, refusal := d.granted(ctx, x, verdict); done {
			return refusal
		}
	}
}

// next returns the next verdict, or false if the request's context ended.
func (d *dispatch) next(ctx context.Context) (scheduler.Decision, bool) {
	if d.pending != nil {
		v := *d.pending
		d.pending = nil
		return v, true
	}
	select {
	case v := <-d.session.Decisions():
		return v, true
	case <-ctx.Done():
		return scheduler.Decision{}, false
	}
}

// granted runs one attempt and reports whether the request is over.
func (d *dispatch) granted(ctx context.Context, x exchange, v scheduler.Decision) (bool, *Refusal) {
	if d.mayHaveStarted && !d.call.route.Spec.Idempotent {
		d.session.Withdraw()
		return true, d.refusal(outcome.AttemptsSpent)
	}
	d.attempted = v.Attempt
	d.proxy.InFlight.enter(v.Server)
	defer d.proxy.InFlight.leave(v.Server)
	server, ok := d.proxy.Index().ServerAddress(v.Server)
	if !ok {
		d.session.Fail(schedcore.Failure{ID: d.call.id, Attempt: v.Attempt, Reason: outcome.ServerRefused, NotStarted: true})
		return false, nil
	}
	if v.Reason != outcome.ReasonNone {
		d.proxy.Metrics.CountRetry(v.Reason)
	}
	res := d.watch(ctx, v, func(ctx context.Context) result { return x.attempt(ctx, d.session, server, v) })
	return d.concluded(ctx, res)
}

// watch runs an attempt and cancels it when a verdict stops it.
func (d *dispatch) watch(ctx context.Context, v scheduler.Decision, run func(context.Context) result) result {
	ctx, cancel := context.WithCancelCause(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.pending = d.follow(ctx, v.Attempt, cancel)
	}()
	res := run(ctx)
	cancel(nil)
	<-stopped
	return res
}

// follow reads verdicts during an attempt, up to the one that stops it. It
// returns the verdict that is to be carried out after the attempt, if it read
// that one. Those behind a preemption stay unread.
func (d *dispatch) follow(ctx context.Context, attempt uint32, cancel context.CancelCauseFunc) *scheduler.Decision {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-d.session.Decisions():
			switch {
			case v.Kind == scheduler.Refused:
				cancel(errRefused)
				return &v
			case v.Kind == scheduler.Preempted && v.Attempt == attempt:
				cancel(errPreempted)
				return nil
			case v.Kind == scheduler.Granted && v.Attempt > attempt:
				return &v
			}
		}
	}
}

// concluded takes an attempt's result and reports whether the request is over.
func (d *dispatch) concluded(ctx context.Context, res result) (bool, *Refusal) {
	if res.completed {
		d.complete(res.end)
		return true, nil
	}
	if !res.failure.NotStarted {
		d.mayHaveStarted = true
	}
	if ctx.Err() != nil {
		d.session.Withdraw()
		return true, d.ended(ctx)
	}
	if res.final != nil {
		d.session.Withdraw()
		return true, res.final
	}
	if d.pending == nil {
		d.session.Fail(res.failure)
	}
	return false, nil
}

// complete closes the session of a completed request. A scheduler that granted
// a further attempt meanwhile knows nothing of the one that ended.
func (d *dispatch) complete(e schedcore.Completion) {
	if d.pending != nil && d.pending.Kind == scheduler.Granted {
		d.session.Withdraw()
		return
	}
	d.session.Complete(e)
}

// ended says how a request ended whose context is over.
func (d *dispatch) ended(ctx context.Context) *Refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return d.refusal(outcome.DeadlinePassed)
	}
	return &Refusal{Final: outcome.Abandoned, Reason: outcome.CallerLeft, mayHaveStarted: d.mayHaveStarted}
}

// refused turns the scheduler's final verdict into the answer. What this
// instance knows first-hand goes before the verdict.
func (d *dispatch) refused(v scheduler.Decision) *Refusal {
	r := d.refusal(v.Reason)
	if v.Final == outcome.Unknown {
		r.Final = outcome.Unknown
		r.mayHaveStarted = true
	}
	if v.RetryAfter > 0 {
		r.RetryAfter = v.RetryAfter
	}
	return r
}

func (d *dispatch) refusal(reason outcome.Reason) *Refusal {
	r := refuse(reason, "")
	r.mayHaveStarted = d.mayHaveStarted
	if d.mayHaveStarted {
		r.Final = outcome.Unknown
	}
	return r
}
