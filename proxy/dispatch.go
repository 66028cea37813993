package proxy

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
)

// Causes for which the context of an attempt is cancelled.
var (
	errDeadline   = errors.New("the request's deadline passed")
	errPreempted  = errors.New("the attempt was preempted")
	errRefused    = errors.New("the scheduler ended the request")
	errStalled    = errors.New("the backend server sent nothing in time")
	errCallerLeft = errors.New("the caller left")
)

// attemptRunner sends the attempts of one request and relays the response.
type attemptRunner interface {
	// attempt runs one attempt and returns after it ended.
	attempt(ctx context.Context, session scheduler.Session, server netip.AddrPort, decision scheduler.Decision) result
}

// result is how an attempt ended.
type result struct {
	completed  bool
	completion schedcore.Completion
	failure    schedcore.Failure
	// finalRefusal is set if the request must end with this refusal and not be
	// retried.
	finalRefusal *Refusal
}

// dispatch is the state of one request between its submission to the scheduler
// and its end.
type dispatch struct {
	proxy   *Proxy
	request *request
	// idempotent is set if the request came by an idempotent route and its answer can go on at
	// another server.
	idempotent bool
	session    scheduler.Session
	// lastAttempt is the number of the last attempt that began.
	lastAttempt uint32
	// mayHaveStarted is set once a backend server may have run an attempt.
	mayHaveStarted bool
	// pending is a decision that arrived during an attempt and is carried out
	// after the attempt, or nil.
	pending *scheduler.Decision
}

// dispatch submits the request to the scheduler and carries out the scheduler's
// decisions until the request ends. It returns nil if the request was completed.
func (p *Proxy) dispatch(ctx context.Context, req *request, runner attemptRunner, t schedcore.Ticket) *Refusal {
	if req.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, req.arrived.Add(req.timeout), errDeadline)
		defer cancel()
	}
	d := &dispatch{proxy: p, request: req, idempotent: t.Idempotent, session: p.Scheduler.Submit(ctx, t)}
	for {
		decision, ok := d.nextDecision(ctx)
		if !ok {
			d.session.Withdraw()
			return d.contextEnded(ctx)
		}
		if decision.Kind == scheduler.Refused {
			return d.schedulerRefused(decision)
		}
		if decision.Kind != scheduler.Granted || decision.Attempt <= d.lastAttempt {
			continue
		}
		if done, refusal := d.runGranted(ctx, runner, decision); done {
			return refusal
		}
	}
}

// nextDecision returns the next decision, or false if the request's context
// ended.
func (d *dispatch) nextDecision(ctx context.Context) (scheduler.Decision, bool) {
	if d.pending != nil {
		decision := *d.pending
		d.pending = nil
		return decision, true
	}
	select {
	case decision := <-d.session.Decisions():
		return decision, true
	case <-ctx.Done():
		return scheduler.Decision{}, false
	}
}

// runGranted runs the granted attempt. It reports whether the request has ended.
// If the request ended without being completed, it also returns the refusal.
func (d *dispatch) runGranted(ctx context.Context, runner attemptRunner, decision scheduler.Decision) (bool, *Refusal) {
	if d.mayHaveStarted && !d.mayRunAgain() {
		d.session.Withdraw()
		return true, d.refusal(outcome.AttemptsSpent)
	}
	d.lastAttempt = decision.Attempt
	d.proxy.InFlight.add(decision.Server)
	defer d.proxy.InFlight.remove(decision.Server)
	server, ok := d.proxy.Index().ServerAddress(decision.Server)
	if !ok {
		d.session.Fail(schedcore.Failure{ID: d.request.id, Attempt: decision.Attempt, Reason: outcome.ServerRefused, NotStarted: true})
		return false, nil
	}
	if decision.Reason != outcome.ReasonNone {
		d.proxy.Metrics.CountRetry(decision.Reason)
	}
	res := d.runCancellable(ctx, decision, func(ctx context.Context) result { return runner.attempt(ctx, d.session, server, decision) })
	return d.handleResult(ctx, res)
}

// mayRunAgain reports whether a request that may have run may be sent again. It must have come by
// an idempotent route, and its route must be so in the configuration that is in force now.
func (d *dispatch) mayRunAgain() bool {
	route := d.request.route
	now, reason := d.proxy.Index().Route(d.request.org, route.Name, route.Spec.Service)
	return d.idempotent && reason == outcome.ReasonNone && now.Spec.Idempotent
}

// runCancellable runs an attempt. It cancels the attempt if the scheduler refuses
// the request or preempts the attempt.
func (d *dispatch) runCancellable(ctx context.Context, decision scheduler.Decision, run func(context.Context) result) result {
	ctx, cancel := context.WithCancelCause(ctx)
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		d.pending = d.watchDecisions(ctx, decision.Attempt, cancel)
	}()
	res := run(ctx)
	cancel(nil)
	<-watchEnded
	return res
}

// watchDecisions reads decisions until the attempt ends, is stopped, or is
// superseded by a further grant. It cancels the attempt on a refusal or a
// preemption. It returns the refusal or the further grant. runCancellable stores this
// decision in pending, and it is carried out after the attempt. After a preemption it returns nil, and
// nextDecision reads the decisions that follow.
func (d *dispatch) watchDecisions(ctx context.Context, attempt uint32, cancel context.CancelCauseFunc) *scheduler.Decision {
	for {
		select {
		case <-ctx.Done():
			return nil
		case decision := <-d.session.Decisions():
			switch {
			case decision.Kind == scheduler.Refused:
				cancel(errRefused)
				return &decision
			case decision.Kind == scheduler.Preempted && decision.Attempt == attempt:
				cancel(errPreempted)
				return nil
			case decision.Kind == scheduler.Granted && decision.Attempt > attempt:
				return &decision
			}
		}
	}
}

// handleResult passes an attempt's result on to the scheduler. It reports
// whether the request has ended. If the request ended without being completed,
// it also returns the refusal.
func (d *dispatch) handleResult(ctx context.Context, res result) (bool, *Refusal) {
	if res.completed {
		d.completeSession(res.completion)
		return true, nil
	}
	if !res.failure.NotStarted {
		d.mayHaveStarted = true
	}
	if ctx.Err() != nil {
		d.session.Withdraw()
		return true, d.contextEnded(ctx)
	}
	if res.finalRefusal != nil {
		d.session.Withdraw()
		return true, res.finalRefusal
	}
	if d.pending == nil {
		d.session.Fail(res.failure)
	}
	return false, nil
}

// completeSession closes the session of a completed request. If the scheduler
// granted a further attempt in the meantime, the ticket is withdrawn instead,
// because the scheduler no longer knows the completed attempt.
func (d *dispatch) completeSession(report schedcore.Completion) {
	if d.pending != nil && d.pending.Kind == scheduler.Granted {
		d.session.Withdraw()
		return
	}
	d.session.Complete(report)
}

// contextEnded returns the refusal for a request whose context ended.
func (d *dispatch) contextEnded(ctx context.Context) *Refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return d.refusal(outcome.DeadlinePassed)
	}
	return &Refusal{Final: outcome.Abandoned, Reason: outcome.CallerLeft, mayHaveStarted: d.mayHaveStarted}
}

// schedulerRefused converts the scheduler's refusal into the refusal for the caller. What
// this instance itself knows of earlier attempts takes precedence over what the
// scheduler states.
func (d *dispatch) schedulerRefused(decision scheduler.Decision) *Refusal {
	r := d.refusal(decision.Reason)
	if decision.Final == outcome.Unknown {
		r.Final = outcome.Unknown
		r.mayHaveStarted = true
	}
	if decision.RetryAfter > 0 {
		r.RetryAfter = decision.RetryAfter
	}
	return r
}

// refusal returns a refusal for the given reason. Its outcome is unknown if a
// backend server may have run an attempt.
func (d *dispatch) refusal(reason outcome.Reason) *Refusal {
	r := refuse(reason, "")
	r.mayHaveStarted = d.mayHaveStarted
	if d.mayHaveStarted {
		r.Final = outcome.Unknown
	}
	return r
}
