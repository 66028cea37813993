package reverseproxy

import (
	"net/http"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// Times after which a caller should come back.
const (
	// returnSoon is for what changes within moments.
	returnSoon = 150 * time.Millisecond
	// returnReady is for an instance that just started.
	returnReady = 500 * time.Millisecond
)

// refusal is an answer of the instance's own.
type refusal struct {
	status  int
	reason  outcome.Reason
	message string
	// retryAfter is set only if no server ran the request.
	retryAfter time.Duration
}

func reject(status int, reason outcome.Reason, message string) *refusal {
	return &refusal{status: status, reason: reason, message: message}
}

// notRun refuses a request that no server ran.
func notRun(reason outcome.Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, message: "not run", retryAfter: retryAfter}
}

// mayHaveRun ends a request that a server may have run.
func mayHaveRun(reason outcome.Reason) *refusal {
	status := http.StatusBadGateway
	if reason == outcome.ServerTimeout || reason == outcome.DeadlinePassed {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, reason: reason, message: "may have run"}
}

func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	closing := h.Get("Connection")
	clear(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		h.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(r.retryAfter))
	}
	w.WriteHeader(r.status)
	// A failed write means that the caller left.
	_, _ = w.Write([]byte(r.reason.String() + ": " + r.message + "\n"))
}
