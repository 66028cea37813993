package reverseproxy

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// This file decides what a server's answer is to the request: whether it may go to the caller, and if not, whether
// the server may have run the request.

// refusalReadTimeout and maxRefusalBytes bound how long and how much of the body of a
// server's refusal is read before the request goes on to another server.
const (
	refusalReadTimeout = 50 * time.Millisecond
	maxRefusalBytes    = 64 << 10
)

// mayHaveRun reports whether the server may have run the request, as far as the response or the error
// shows.
func (s *sending) mayHaveRun() bool {
	if s.err != nil {
		return sendFailure(s.err).mayHaveRun
	}
	return !platform.StatesNotExecuted(s.response.Response)
}

// isUsable reports whether the attempt's response goes to the caller unless its body
// fails. Refusals, server errors, failures with the status of a refusal and responses that are not a
// backend server's do not.
func (f *forwarder) isUsable(s *sending) bool {
	if s.err != nil || platform.StatesNotExecuted(s.response.Response) {
		return false
	}
	if s.response.StatusCode/100 == 2 {
		return isFromBackendServer(s.response.Header)
	}
	return !f.stream.started && s.response.StatusCode < http.StatusInternalServerError && !outcome.PromisesNotRun(s.response.StatusCode)
}

// sendFailure converts an error of the send, before any response, into a failure.
func sendFailure(err error) failure {
	var sendError *engineclient.SendError
	if !errors.As(err, &sendError) {
		panic("reverseproxy: send error is not an engineclient.SendError: " + err.Error())
	}
	return failure{reason: sendError.Reason, mayHaveRun: !sendError.NotStarted, err: err}
}

// unusable returns why a response that is not usable is a failure. It keeps a server
// error for the caller, in case no other server responds.
func (f *forwarder) unusable(s *sending) failure {
	if s.err != nil {
		return sendFailure(s.err)
	}
	if platform.StatesNotExecuted(s.response.Response) {
		discardRefusal(s.response)
		if platform.StatesServerMoved(s.response.Response) {
			return failure{reason: outcome.ServerMoved}
		}
		return failure{reason: outcome.ServerRefused}
	}
	if s.response.StatusCode/100 == 2 && !isFromBackendServer(s.response.Header) {
		return failure{reason: outcome.ResponseMismatch, mayHaveRun: true}
	}
	if outcome.PromisesNotRun(s.response.StatusCode) {
		return f.unstated(s)
	}
	if f.stream.started {
		return failure{reason: outcome.ServerError, mayHaveRun: true, err: errors.Errorf("status %d", s.response.StatusCode)}
	}
	_, failed := f.relayWhole(s.response, &s.attempt)
	return failed
}

// unstated returns the failure of a server that answered with a status which promises that the request did
// not run, but did not state so: it may have run. The answer is not kept for the caller, to whom it would be
// that promise.
func (f *forwarder) unstated(s *sending) failure {
	if f.handler.Selector.RecordFirstEvent(&s.attempt) {
		f.countUsage()
	}
	discardRefusal(s.response)
	return failure{reason: outcome.ServerError, mayHaveRun: true, err: errors.Errorf("status %d without a statement that it did not run", s.response.StatusCode)}
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
