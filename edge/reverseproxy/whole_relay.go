package reverseproxy

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// maxResponseBytes limits the body of a response that is read whole before it
// is forwarded.
const maxResponseBytes = 16 << 20

// wholeResponse is a server's response after its whole body was read.
type wholeResponse struct {
	status int
	header http.Header
	body   []byte
	server string
}

// relayWhole reads a response to its end before any of it is passed on.
func (f *forwarder) relayWhole(response *backendclient.Response, a *balancer.Attempt) (bool, failure) {
	// A server error is kept, in case another server responds.
	mayPass := response.ContentLength >= 0 && response.StatusCode < http.StatusInternalServerError
	body, err := f.wholeBody.readWhole(response, response.ContentLength, maxResponseBytes, mayPass)
	if errors.Is(err, errBuffersFull) {
		return f.relayAsRead(response, body, a)
	}
	if err != nil {
		return false, failure{reason: readErrorReason(err), mayHaveRun: true, err: err}
	}
	if f.handler.Selector.RecordFirstEvent(a) {
		f.countUsage()
	}
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

// writeWhole writes a server's response to the caller, whose request is thereby completed.
func (f *forwarder) writeWhole(whole *wholeResponse) {
	f.deliverWhole(whole)
	f.recordCompleted(whole.server, whole.status)
}

// deliverWhole writes a response to the caller.
func (f *forwarder) deliverWhole(whole *wholeResponse) {
	copyHeader(f.w, whole.header)
	if !hasNoBody(f.request.method, whole.status) {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	}
	f.w.WriteHeader(whole.status)
	_, err := f.w.Write(whole.body)
	if err == nil {
		err = flushResponse(f.w)
	}
	f.handler.recordUndelivered(f.request, whole.status, err)
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
		"events", f.stream.position.Events(), "first_ms", f.stream.firstAfter.Milliseconds(), "pause_ms", f.stream.longestGap.Milliseconds(),
		"elapsed_ms", untilComplete.Milliseconds(), "objective_ms", req.route.LatencyTarget.Milliseconds())
}
