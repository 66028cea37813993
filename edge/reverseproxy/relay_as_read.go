package reverseproxy

import (
	"io"
	"net/http"
	"strconv"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// This file answers larger responses than there is memory for: they are passed on as they are read.
// The request has run, so it is not given up for memory. A response that breaks off on the way
// ends with its connection, and another server can't be asked.

// relayAsRead passes a response on whose first part was read already. It reports whether the
// caller got all of it.
func (f *forwarder) relayAsRead(response *backendclient.Response, first []byte, a *balancer.Attempt) (bool, failure) {
	f.handler.Selector.RecordFirstEvent(a)
	copyHeader(f.w, platform.ForwardedResponseHeader(response.Header))
	if response.ContentLength >= 0 && !hasNoBody(f.request.method, response.StatusCode) {
		f.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	f.w.WriteHeader(response.StatusCode)
	f.begun = true
	if failed, ok := f.passRest(response, first); !ok {
		return false, failed
	}
	if response.StatusCode/100 == 2 {
		f.recordAnswered(a, isDelimited(response.Response))
	}
	f.recordCompleted(a.Server.ID, response.StatusCode)
	return true, failure{}
}

// passRest writes what was read of a response, and then the rest in the same buffer. It returns
// false if the response breaks off or the caller leaves.
func (f *forwarder) passRest(response *backendclient.Response, first []byte) (failure, bool) {
	buffer, read := first[:cap(first)], len(first)
	for {
		if _, f.writeErr = f.w.Write(buffer[:read]); f.writeErr == nil {
			f.writeErr = http.NewResponseController(f.w).Flush()
		}
		if f.writeErr != nil {
			return failure{reason: outcome.CallerLeft, mayHaveRun: true, err: f.writeErr}, false
		}
		var err error
		read, err = response.Read(buffer)
		if err == io.EOF && read == 0 {
			return failure{}, true
		}
		if err != nil && err != io.EOF {
			return failure{reason: readErrorReason(err), mayHaveRun: true, err: err}, false
		}
	}
}
