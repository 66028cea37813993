package reverseproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// maxResponseBytes limits the body of a response that is read whole before it
// is forwarded.
const maxResponseBytes = 16 << 20

// refusalReadTimeout and maxRefusalBytes bound how long and how much of the body of a
// server's refusal is read before the request goes on to another server.
const (
	refusalReadTimeout = 50 * time.Millisecond
	maxRefusalBytes    = 64 << 10
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
	// serverError is the last 5xx response of a server. It is passed on to the
	// caller if no further server gives a response.
	serverError *wholeResponse
	// wholeBody is the memory reserved for responses that are read whole.
	wholeBody   reservation
	lastFailure failure
}

// failure describes why an attempt failed.
type failure struct {
	reason outcome.Reason
	// mayHaveRun is set if the server may have run the request.
	mayHaveRun bool
	err        error
}

// wholeResponse is a server's response after its whole body was read.
type wholeResponse struct {
	status int
	header http.Header
	body   []byte
	server string
}

// run tries servers one after another until the caller has its response.
func (f *forwarder) run(ctx context.Context) {
	req := f.request
	req.tried = make(map[string]bool)
	f.wholeBody.budget = f.handler.buffers
	defer f.wholeBody.release()
	for {
		a, refused := f.handler.beginAttempt(req)
		if refused != nil {
			f.giveUp(refused)
			return
		}
		req.tried[a.Server.ID] = true
		req.sends++
		f.logSent(&a)
		done, failed := f.attempt(ctx, &a)
		if done {
			return
		}
		if f.callerCtx.Err() != nil {
			// When the caller leaves, the connection to the server is closed. The
			// attempt's error then says nothing about the server.
			failed.reason = outcome.CallerLeft
		}
		f.lastFailure = failed
		if failed.mayHaveRun {
			req.possibleRuns++
		}
		f.logFailed(&a, failed)
		if failed.reason == outcome.CallerLeft {
			f.callerLeft()
			return
		}
		if failed.reason == outcome.StreamCut && failed.mayHaveRun {
			f.checkServer(&a, false)
		}
		if !f.mayRetry(ctx) {
			f.giveUp(nil)
			return
		}
		f.handler.Metrics.CountRetry(failed.reason)
	}
}

// mayRetry reports whether the request may be sent to another server. If so, it
// takes one retry from the service's budget.
func (f *forwarder) mayRetry(ctx context.Context) bool {
	req := f.request
	switch {
	case ctx.Err() != nil:
		return false
	case req.possibleRuns > 0 && !req.route.MayRetry():
		return false
	case req.possibleRuns >= req.route.MaxServers:
		return false
	}
	return f.handler.Selector.AllowRetry(req.service.Name)
}

// giveUp ends a request for which no further attempt is made. refused is the
// refusal of beginAttempt; it is nil if the last attempt failed and the request
// may not be retried.
func (f *forwarder) giveUp(refused *refusal) {
	req := f.request
	if f.stream.started {
		f.abortStream()
	}
	if f.serverError != nil {
		f.writeWhole(f.serverError)
		return
	}
	switch {
	case req.possibleRuns > 0:
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
	if req.possibleRuns > 0 {
		return outcome.Unknown
	}
	return outcome.Refused
}

// abortStream aborts a stream that can't be completed, so that the caller
// doesn't take it for a complete one.
func (f *forwarder) abortStream() {
	req := f.request
	f.class.CountFinal(outcome.Unknown)
	f.handler.Failures.Warn("broken off", "request", req.id, "reason", f.lastFailure.reason.String(), "events", f.stream.eventCount,
		"sends", req.sends, "elapsed_ms", time.Since(req.arrived).Milliseconds())
	// With this panic net/http closes the connection without completing the
	// response.
	panic(http.ErrAbortHandler)
}

// callerLeft records that the caller left before its response was complete. If a
// stream had begun, it aborts the response.
func (f *forwarder) callerLeft() {
	req := f.request
	f.class.CountFinal(outcome.Abandoned)
	f.handler.Failures.Info("caller left", "request", req.id, "sends", req.sends, "elapsed_ms", time.Since(req.arrived).Milliseconds())
	if f.stream.started {
		panic(http.ErrAbortHandler)
	}
}

// logSent logs which server a request goes to and the values that led to this
// choice. It is called before the send, so that the line exists even if the
// instance is killed during the send.
func (f *forwarder) logSent(a *balancer.Attempt) {
	req := f.request
	f.handler.Successes.Info("sent",
		"request", req.id, "route", req.route.Name, "server", a.Server.ID, "data_centre", a.Server.DataCentre, "send", req.sends,
		"rank", req.enginePriority(), "route_rank", req.route.Priority, "left_ms", time.Until(req.deadline).Milliseconds(), "prompt", req.prompt.Tokens, "kept", a.CachedTokens,
		"expected_ms", a.ExpectedDelay.Milliseconds(), "cost", a.Cost, "slowness", a.Slowness,
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
	if f.stream.started {
		sinceLastEvent = time.Since(f.stream.lastAt)
	}
	f.handler.Failures.Warn("attempt failed",
		"request", f.request.id, "server", a.Server.ID, "data_centre", a.Server.DataCentre, "reason", failed.reason.String(),
		"may_have_run", failed.mayHaveRun, "detail", detail, "route", f.request.route.Name,
		"events", f.stream.eventCount, "silent_ms", sinceLastEvent.Milliseconds(),
		"elapsed_ms", time.Since(f.request.arrived).Milliseconds(), "expected_ms", a.ExpectedDelay.Milliseconds(),
		"blocks", blockNames(f.request.sharedBlocks))
}

// attempt sends the request to a server and relays the response. It reports
// whether the caller has its final response.
func (f *forwarder) attempt(ctx context.Context, a *balancer.Attempt) (done bool, failed failure) {
	result := balancer.Cancelled
	defer func() { f.handler.Selector.EndAttempt(a, result) }()
	response, err := f.handler.Client.Send(ctx, f.handler.connectionTarget(f.request, a), f.request.backendRequest(a, f.stream.lastEventID(f.request)))
	if err != nil {
		failed = sendFailure(err)
		result = f.attemptResult(failed)
		return false, failed
	}
	defer response.Close()
	done, failed = f.relayResponse(response, a)
	if done {
		result = balancer.Succeeded
	} else {
		result = f.attemptResult(failed)
	}
	return done, failed
}

// sendFailure converts an error of the send, before any response, into a failure.
func sendFailure(err error) failure {
	var sendError *engineclient.SendError
	if !errors.As(err, &sendError) {
		panic("reverseproxy: send error is not an engineclient.SendError: " + err.Error())
	}
	return failure{reason: sendError.Reason, mayHaveRun: !sendError.NotStarted, err: err}
}

// attemptResult converts a failure into the result that the balancer records
// for the attempt.
func (f *forwarder) attemptResult(failed failure) balancer.AttemptResult {
	switch {
	case f.callerCtx.Err() != nil, failed.reason == outcome.CallerLeft:
		return balancer.Cancelled
	case errors.Is(failed.err, syscall.ECONNREFUSED), errors.Is(failed.err, syscall.ECONNRESET):
		// The server's host replied, so the network path to it works.
		return balancer.Failed
	case failed.reason == outcome.ServerUnreachable, failed.reason == outcome.ServerTimeout:
		return balancer.NoResponse
	}
	return balancer.Failed
}

// relayResponse reads a server's response and passes it on to the caller.
func (f *forwarder) relayResponse(response *backendclient.Response, a *balancer.Attempt) (bool, failure) {
	if platform.StatesNotExecuted(response.Response) {
		discardRefusal(response)
		if platform.StatesServerMoved(response.Response) {
			return false, failure{reason: outcome.ServerMoved}
		}
		return false, failure{reason: outcome.ServerRefused}
	}
	succeeded := response.StatusCode/100 == 2
	if succeeded && !isFromBackendServer(response.Header) {
		return false, failure{reason: outcome.ResponseMismatch, mayHaveRun: true}
	}
	if succeeded && f.request.route.Kind == catalog.Stream {
		return f.relayStream(response, a)
	}
	if f.stream.started {
		return false, failure{reason: outcome.ServerError, mayHaveRun: true, err: errors.Errorf("status %d", response.StatusCode)}
	}
	return f.relayWhole(response, a)
}

// discardRefusal reads the rest of a refusal, so that its connection can be reused. It
// does not wait for long: if the rest does not come at once, the connection is closed.
func discardRefusal(response *backendclient.Response) {
	if err := response.SetReadDeadline(time.Now().Add(refusalReadTimeout)); err != nil {
		return
	}
	// If this read fails, only the connection is lost.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxRefusalBytes))
}

// isFromBackendServer reports whether the header of a successful response has a server
// stamp and no content encoding. Any other successful response does not count as a
// backend server's response, and its attempt fails as outcome.ResponseMismatch.
func isFromBackendServer(h http.Header) bool {
	return h.Get(platform.HeaderServerStamp) != "" && h.Get("Content-Encoding") == ""
}

// relayWhole reads a response to its end before any of it is passed on.
func (f *forwarder) relayWhole(response *backendclient.Response, a *balancer.Attempt) (bool, failure) {
	body, err := f.wholeBody.readWhole(response, response.ContentLength, maxResponseBytes)
	if err != nil {
		return false, failure{reason: readErrorReason(err), mayHaveRun: true, err: err}
	}
	f.handler.Selector.RecordFirstEvent(a)
	whole := &wholeResponse{status: response.StatusCode, header: platform.ForwardedResponseHeader(response.Header), body: body, server: a.Server.ID}
	if whole.status >= http.StatusInternalServerError {
		f.serverError = whole
		return false, failure{reason: outcome.ServerError, mayHaveRun: true, err: errors.Errorf("status %d", whole.status)}
	}
	if whole.status/100 == 2 {
		f.recordAnswered(a, isDelimited(response.Response))
	}
	f.writeWhole(whole)
	return true, failure{}
}

// isDelimited reports whether the end of a response can be told from the end of its
// connection.
func isDelimited(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// readErrorReason converts an error from reading a response into the reason of
// the failure. The instance itself closes a connection if the request's deadline
// passed or its caller left. Both give ServerTimeout here; if the caller left,
// run replaces ServerTimeout with CallerLeft.
func readErrorReason(err error) outcome.Reason {
	var timeout interface{ Timeout() bool }
	if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
		return outcome.ServerTimeout
	}
	return outcome.StreamCut
}

// writeWhole writes a server's response to the caller.
func (f *forwarder) writeWhole(whole *wholeResponse) {
	copyHeader(f.w, whole.header)
	if !hasNoBody(f.request.method, whole.status) {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	}
	f.w.WriteHeader(whole.status)
	// The error is ignored: a failed write means that the caller left.
	_, _ = f.w.Write(whole.body)
	f.recordCompleted(whole.server, whole.status)
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// copyHeader copies a server's header to the response. An absent Content-Type
// is set to nil, which keeps net/http from guessing one.
func copyHeader(w http.ResponseWriter, from http.Header) {
	h := w.Header()
	for name, values := range from {
		h[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// metTargets reports whether a response met the route's targets. In a stream, the
// first event must arrive within the latency target, and no gap between two events
// may exceed the route's MaxEventGap. Any other response must be complete within the latency target.
func (f *forwarder) metTargets(untilComplete time.Duration) bool {
	route := f.request.route
	if !f.stream.started {
		return untilComplete <= route.LatencyTarget
	}
	return f.stream.firstAfter <= route.LatencyTarget && (route.MaxEventGap <= 0 || f.stream.longestGap <= route.MaxEventGap)
}

// recordCompleted counts and logs a request whose caller got a server's response.
func (f *forwarder) recordCompleted(server string, status int) {
	req := f.request
	untilComplete := time.Since(req.arrived)
	f.class.CountFinal(outcome.Completed)
	f.class.CountTarget(f.metTargets(untilComplete))
	f.class.ObserveWholeAnswer(untilComplete)
	f.handler.Successes.Info("answered",
		"request", req.id, "route", req.route.Name, "server", server, "status", status, "sends", req.sends,
		"events", f.stream.eventCount, "first_ms", f.stream.firstAfter.Milliseconds(), "pause_ms", f.stream.longestGap.Milliseconds(),
		"elapsed_ms", untilComplete.Milliseconds(), "objective_ms", req.route.LatencyTarget.Milliseconds())
}
