package reverseproxy

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/eventstream"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/outcome"
)

// forwarder sends one request to servers until one of them responds or no
// further attempt is allowed.
type forwarder struct {
	handler *Handler
	request *request
	w       http.ResponseWriter
	// callerCtx is the context of the caller's request. It is cancelled when the
	// caller leaves.
	callerCtx context.Context

	// class holds the metrics of the request's route kind and priority.
	class  *metrics.ClassMetrics
	stream streamState
	// begun is set once a part of a response that is no stream went to the caller.
	begun bool
	// serverError is the last 5xx response of a server. It is passed on to the
	// caller if no further server gives a response.
	serverError *wholeResponse
	// wholeBody is the memory reserved for responses that are read whole.
	wholeBody   reservation
	lastFailure failure
	// writeErr is the error of a failed write to the caller.
	writeErr error
	// others makes further attempts while a server is silent. goesOn is one of them
	// that takes the place of the current attempt, or nil.
	others furtherAttempts
	goesOn *sending
}

// failure describes why an attempt failed.
type failure struct {
	reason outcome.Reason
	// mayHaveRun is set if the server may have run the request.
	mayHaveRun bool
	err        error
}

// run tries servers one after another until the caller has its response. While a server
// is silent, further ones are tried beside it.
func (f *forwarder) run(ctx context.Context) {
	f.request.tried = make(map[string]bool)
	if f.request.route.IsResumable() {
		f.stream.position = eventstream.After(f.request.lastEventID)
	}
	f.wholeBody = f.newReservation()
	defer f.wholeBody.release()
	if f.relayAtOnce() {
		return
	}
	if refused := f.handler.bindStream(ctx, f.request); refused != nil {
		f.giveUp(refused)
		return
	}
	f.others = furtherAttempts{f: f, ctx: ctx}
	defer f.dropUnused()
	for {
		s, refused := f.next(ctx)
		if refused != nil {
			f.giveUp(refused)
			return
		}
		done, failed := f.attempt(s)
		if done {
			return
		}
		if f.callerCtx.Err() != nil {
			// The connection to the server was closed because of this. The attempt's
			// error then says nothing about the server.
			failed.reason = f.endReason()
		}
		f.recordFailure(s, failed)
		if failed.reason == outcome.CallerLeft {
			f.callerLeft()
		}
		if f.goesOn != nil {
			continue
		}
		if f.relayAfter(ctx, failed) {
			return
		}
		if ctx.Err() != nil || f.begun {
			f.giveUp(nil)
			return
		}
	}
}

// endReason says why the context of the caller's request has ended.
func (f *forwarder) endReason() outcome.Reason {
	if errors.Is(context.Cause(f.callerCtx), ErrCut) {
		return outcome.InstanceLeaving
	}
	return outcome.CallerLeft
}

// next returns the attempt that goes on in place of the last one, or else a new one. After the first
// one, it takes one retry from the budget of the service that gets the request.
func (f *forwarder) next(ctx context.Context) (*sending, *refusal) {
	if s := f.goesOn; s != nil {
		f.goesOn = nil
		return s, nil
	}
	if f.request.sends == 0 {
		return f.newSending(ctx, f.handler.Selector.BeginAttempt, nil)
	}
	s, refused := f.newSending(ctx, f.handler.Selector.BeginFurtherAttempt, nil)
	if refused == nil {
		f.handler.Metrics.CountRetry(f.lastFailure.reason)
	}
	return s, refused
}

// dropUnused ends the attempt that would have gone on, if the caller left before that.
func (f *forwarder) dropUnused() {
	if f.goesOn != nil {
		f.endUnneeded(f.goesOn)
	}
}

// recordFailure counts and logs a failed attempt.
func (f *forwarder) recordFailure(s *sending, failed failure) {
	f.lastFailure = failed
	if failed.mayHaveRun {
		f.request.recordPossibleRun(s.binding.route)
	} else {
		f.handler.returnTry(f.request)
	}
	f.logFailed(&s.attempt, failed)
}

// giveUp ends a request for which no further attempt is made. refused is the
// refusal of beginAttempt; it is nil if the request's time is over, or if a part of the response has
// gone to the caller.
func (f *forwarder) giveUp(refused *refusal) {
	req := f.request
	if f.stream.started || f.begun {
		f.abortResponse()
	}
	if f.serverError != nil {
		f.writeWhole(f.serverError)
		return
	}
	switch {
	case len(req.possibleRuns) > 0:
		refused = refuseMayHaveRun(f.lastFailure.reason)
	case refused == nil && time.Until(req.deadline) <= 0:
		refused = refuseNotRun(outcome.DeadlinePassed, retrySoon)
	case refused == nil:
		refused = refuseNotRun(f.lastFailure.reason, retrySoon)
	}
	f.class.CountFinal(finalOutcome(req))
	f.handler.writeRefusal(f.w, req, refused)
}

// finalOutcome returns the final outcome of a request whose caller gets no
// server's response.
func finalOutcome(req *request) outcome.Final {
	if len(req.possibleRuns) > 0 {
		return outcome.Unknown
	}
	return outcome.Refused
}

// abortResponse aborts a response that can't be completed, so that the caller
// doesn't take it for a complete one. Its attempt must have ended: abortResponse does not return.
func (f *forwarder) abortResponse() {
	req := f.request
	f.class.CountFinal(outcome.Unknown)
	f.handler.Failures.Warn("broken off", "request", req.id, "reason", f.lastFailure.reason.String(), "events", f.stream.position.Events(),
		"sends", req.sends, "elapsed_ms", time.Since(req.arrived).Milliseconds())
	// With this panic net/http closes the connection without completing the
	// response.
	panic(http.ErrAbortHandler)
}

// callerLeft records that the caller left before its response was complete, and aborts the
// response: a caller that has only closed its sending side must not take what it got for
// complete. The attempt must have ended: callerLeft does not return.
func (f *forwarder) callerLeft() {
	req := f.request
	f.class.CountFinal(outcome.Abandoned)
	end := connectionEnd(f.w, f.writeErr, req.writeDeadline())
	f.handler.Metrics.CountUndelivered(end)
	f.handler.Failures.Log(context.Background(), undeliveredLevel(end), "caller left", "request", req.id, "connection", end.String(), "sends", req.sends,
		"events", f.stream.position.Events(), "elapsed_ms", time.Since(req.arrived).Milliseconds())
	panic(http.ErrAbortHandler)
}

// logSent logs which server a request goes to and the values that led to this
// choice. It is called before the send, so that the line exists even if the
// instance is killed during the send.
func (f *forwarder) logSent(a *balancer.Attempt, lastEventID string) {
	req := f.request
	f.handler.Successes.Info("sent",
		"request", req.id, "route", req.route.Name, "server", a.Server.ID, "data_centre", a.Server.DataCentre, "version", a.Server.Version, "send", req.sends,
		"after_event", lastEventID, "resumes", req.resumes, "rank", req.enginePriority(), "route_rank", req.route.Priority, "left_ms", time.Until(req.deadline).Milliseconds(), "prompt", req.prompt.Tokens, "kept", a.CachedTokens,
		"expected_ms", a.ExpectedDelay.Milliseconds(), "cost", a.Cost, "slowness", a.Slowness, "pause_probability", a.PauseProbability,
		"running", a.Load.Running, "unread", a.Load.PrefillTokens, "candidates", a.Candidates)
}

// logFailed logs a failed attempt. The value of silent_ms is the time since the
// last event of a stream that had begun.
func (f *forwarder) logFailed(a *balancer.Attempt, failed failure) {
	detail := ""
	if failed.err != nil {
		detail = failed.err.Error()
	}
	sinceLastEvent := time.Duration(0)
	if !f.stream.lastAt.IsZero() {
		sinceLastEvent = time.Since(f.stream.lastAt)
	}
	f.handler.Failures.Warn("attempt failed",
		"request", f.request.id, "server", a.Server.ID, "data_centre", a.Server.DataCentre, "reason", failed.reason.String(),
		"may_have_run", failed.mayHaveRun, "detail", detail, "route", f.request.route.Name,
		"events", f.stream.position.Events(), "silent_ms", sinceLastEvent.Milliseconds(),
		"elapsed_ms", time.Since(f.request.arrived).Milliseconds(), "expected_ms", a.ExpectedDelay.Milliseconds(),
		"key", strconv.FormatUint(f.request.key, 16), "blocks", blockNames(f.request.sharedBlocks))
}

// attempt sends the request to a server, unless that was done before, and relays the
// response. It reports whether the caller has its final response.
func (f *forwarder) attempt(s *sending) (done bool, failed failure) {
	defer f.endIfOpen(s)
	if !s.sent {
		f.others.watch(s, f.request.headerPatience(&s.attempt), s.plan.After)
		s.send(f.handler)
	}
	switch {
	case s.err != nil:
		failed = sendFailure(s.err)
		if f.callerCtx.Err() == nil && failed.reason != outcome.ServerRefused && !s.outrun.Load() {
			f.handler.PeerRelay.Reach.Suspect()
		}
	case f.isUsable(s):
		done, failed = f.relayUsable(s)
	default:
		if f.goesOn = f.others.failed(); f.goesOn != nil {
			// The attempt that goes on must not wait for this one's body. After an
			// error, reading that body fails too.
			_ = s.response.SetReadDeadline(time.Now().Add(refusalReadTimeout))
		}
		failed = f.unusable(s)
	}
	if done {
		f.end(s, balancer.Succeeded)
		return true, failed
	}
	failed = s.failure(failed)
	f.checkAfter(s, failed)
	f.end(s, f.attemptResult(failed))
	if f.goesOn == nil {
		f.goesOn = f.others.failed()
	}
	return false, failed
}

// relayUsable relays a usable response, unless another attempt already goes on in its
// place.
func (f *forwarder) relayUsable(s *sending) (bool, failure) {
	if f.goesOn = f.others.spoke(); f.goesOn != nil {
		return false, failure{mayHaveRun: true}
	}
	if f.stream.started && !f.continuesStream(s.response) {
		return false, failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errNotContinued}
	}
	if s.response.StatusCode/100 == 2 && f.request.route.Kind == catalog.Stream {
		return f.relayStream(s)
	}
	return f.relayWhole(s.response, &s.attempt)
}

// attemptResult converts a failure into the result that the balancer records
// for the attempt.
func (f *forwarder) attemptResult(failed failure) balancer.AttemptResult {
	switch {
	case f.callerCtx.Err() != nil, failed.reason == outcome.CallerLeft:
		return balancer.Cancelled
	case errors.Is(failed.err, errOutrun):
		return balancer.Outrun
	case errors.Is(failed.err, syscall.ECONNREFUSED), errors.Is(failed.err, syscall.ECONNRESET):
		// The server's host replied, so the network path to it works.
		return balancer.Failed
	case failed.reason == outcome.ServerUnreachable, failed.reason == outcome.ServerTimeout:
		return balancer.NoResponse
	}
	return balancer.Failed
}
