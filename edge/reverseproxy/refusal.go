package reverseproxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// Retry-After values.
const (
	// retrySoon is for conditions that pass quickly, such as a lack of servers.
	retrySoon = 150 * time.Millisecond
	// retryWhenReady is for an instance whose configuration is not complete,
	// such as one that just started.
	retryWhenReady = 500 * time.Millisecond
)

// refusal is an error response that the instance itself gives, as opposed to
// one from a backend server.
type refusal struct {
	status  int
	reason  outcome.Reason
	message string
	// retryAfter is set only if no server ran the request, so that the caller
	// can safely send it again.
	retryAfter time.Duration
	// overload is set if the request was refused because of the servers' load.
	overload *overloadDetails
	// suspect is set if the request was refused because of a part of its prompt.
	suspect *crashguard.Suspect
	// limited is set if the request was refused because of the servers' limits.
	limited *limitDetails
	// origin is set if the request was refused because of a stream's software version.
	origin *originDetails
}

// limitDetails holds the servers that could have run a refused request, all of which name a
// limit, and the sum of their limits.
type limitDetails struct {
	servers   int
	perSecond float64
}

// overloadDetails holds the values that led to the refusal of a request because
// of the servers' load.
type overloadDetails struct {
	// attempt is the attempt that was not made.
	attempt balancer.Attempt
	// reports describes what the instance knew of the other instances' requests.
	reports balancer.ReportsInUse
}

// refuse returns a refusal without a Retry-After time.
func refuse(status int, reason outcome.Reason, message string) *refusal {
	return &refusal{status: status, reason: reason, message: message}
}

// refuseNotRun returns the refusal of a request that no server ran.
func refuseNotRun(reason outcome.Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, message: "not run", retryAfter: retryAfter}
}

// refuseMayHaveRun returns the refusal of a request that failed and that a
// server may have run.
func refuseMayHaveRun(reason outcome.Reason) *refusal {
	status := http.StatusBadGateway
	if reason == outcome.ServerTimeout || reason == outcome.DeadlinePassed {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, reason: reason, message: "may have run"}
}

// write sends the refusal of a request to the caller. It removes all header fields that were
// set before, except Connection. The request's ID tells an instance that handed the request on
// whose answer the refusal is.
func (r *refusal) write(w http.ResponseWriter, requestID string) error {
	h := w.Header()
	connection := h.Get("Connection")
	clear(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	if requestID != "" {
		h.Set(platform.HeaderRequestID, requestID)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		h.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(r.retryAfter))
	}
	body := r.reason.String() + ": " + r.message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	if _, err := io.WriteString(w, body); err != nil {
		return err
	}
	return flushResponse(w)
}
