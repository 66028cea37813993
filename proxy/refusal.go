package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Header names of the callers' protocol.
const (
	// HeaderClass is the name of the service class.
	HeaderClass = "Bergamotpin-Class"
	// HeaderDeadline is the time that the whole request may take, in
	// milliseconds.
	HeaderDeadline = "Bergamotpin-Deadline"
	// HeaderRun states on a refusal whether the request was run: "no" or
	// "unknown".
	HeaderRun = "Bergamotpin-Run"
	// HeaderRequestID is the request's ID.
	HeaderRequestID = "Bergamotpin-Request"
	// HeaderIdempotencyKey is the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// defaultRetryAfter is the Retry-After time if the scheduler gives no better
// one.
const defaultRetryAfter = time.Second

// Refusal is a final response that the instance itself gives, as opposed to one
// from a backend server.
type Refusal struct {
	// Final is the final outcome that is stated to the caller and counted, for
	// example outcome.Refused.
	Final   outcome.Final
	Reason  outcome.Reason
	Message string
	// RetryAfter is the time after which the caller should send the request
	// again. Zero means that the same request would be refused again.
	RetryAfter time.Duration
	// mayHaveStarted is set if a backend server may have run an attempt.
	mayHaveStarted bool
}

// refuse returns a refusal of a request that was not run. It sets a Retry-After
// time unless the same request would be refused again.
func refuse(reason outcome.Reason, message string) *Refusal {
	r := &Refusal{Final: outcome.Refused, Reason: reason, Message: message}
	if !isCallerError(reason) {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}

// status returns the HTTP status of the refusal.
func (r *Refusal) status() int {
	if r.Final != outcome.Refused {
		return unknownStatus(r.Reason)
	}
	if s, ok := refusedStatus[r.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// unknownStatus returns the HTTP status for a request that may have run.
func unknownStatus(reason outcome.Reason) int {
	if reason == outcome.DeadlinePassed || reason == outcome.ServerTimeout {
		return http.StatusGatewayTimeout
	}
	switch reason {
	case outcome.KeyInProgress, outcome.KeyCompleted, outcome.KeyUnknown:
		return http.StatusConflict
	default:
		return http.StatusBadGateway
	}
}

// refusedStatus holds the HTTP statuses for requests that were not run. A reason
// that is missing here gives status 503.
var refusedStatus = map[outcome.Reason]int{
	outcome.BadRequest:     http.StatusBadRequest,
	outcome.UnknownClass:   http.StatusBadRequest,
	outcome.KeyRequired:    http.StatusBadRequest,
	outcome.BodyTooLarge:   http.StatusRequestEntityTooLarge,
	outcome.HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	outcome.BodyTimeout:    http.StatusRequestTimeout,
	outcome.Unauthorised:   http.StatusUnauthorized,
	outcome.UnknownModel:   http.StatusNotFound,
	outcome.NotAllowed:     http.StatusForbidden,
	outcome.KeyConflict:    http.StatusUnprocessableEntity,
	outcome.KeyInProgress:  http.StatusConflict,
	outcome.Infeasible:     http.StatusTooManyRequests,
	outcome.QueueFull:      http.StatusTooManyRequests,
	outcome.Evicted:        http.StatusTooManyRequests,
	outcome.WaitExceeded:   http.StatusTooManyRequests,
	outcome.DeadlinePassed: http.StatusGatewayTimeout,
}

// isCallerError reports whether the same request would be refused again for
// this reason.
func isCallerError(reason outcome.Reason) bool {
	switch reason {
	case outcome.BadRequest, outcome.UnknownClass, outcome.KeyRequired, outcome.BodyTooLarge,
		outcome.HeaderTooLarge, outcome.Unauthorised, outcome.UnknownModel, outcome.NotAllowed,
		outcome.KeyConflict:
		return true
	default:
		return false
	}
}

// errorBody is the JSON body of a refusal, in the format of the OpenAI
// protocol.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Reason       string `json:"reason"`
	Run          string `json:"run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// runState returns the value of HeaderRun.
func (r *Refusal) runState() string {
	if r.Final == outcome.Refused {
		return "no"
	}
	return "unknown"
}

// body returns the JSON body of the refusal.
func (r *Refusal) body() []byte {
	message := r.Message
	if message == "" {
		message = "the request was not completed: " + r.Reason.String()
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message:      message,
		Type:         "bergamotpin_" + r.Final.String(),
		Code:         r.Reason.String(),
		Reason:       r.Reason.String(),
		Run:          r.runState(),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		panic("proxy: a refusal can't be encoded: " + err.Error())
	}
	return body
}

// write sends the refusal to the caller. It must be the first write of the
// response.
func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, r.runState())
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(r.status())
	// The error is ignored: a failed write means that the caller left.
	_, _ = w.Write(r.body())
}
