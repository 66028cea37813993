package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Headers of the callers' protocol.
const (
	// HeaderClass names the service class.
	HeaderClass = "Bergamotpin-Class"
	// HeaderDeadline bounds the whole request, in milliseconds.
	HeaderDeadline = "Bergamotpin-Deadline"
	// HeaderRun says on a refusal whether the request was run: no or unknown.
	HeaderRun = "Bergamotpin-Run"
	// HeaderRequestID carries the request's id.
	HeaderRequestID = "Bergamotpin-Request"
	// HeaderIdempotencyKey carries the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// defaultReturn is the time to return where no queue gives a better one.
const defaultReturn = time.Second

// Refusal is a final answer that is not the backend server's.
type Refusal struct {
	Final   outcome.Final
	Reason  outcome.Reason
	Message string
	// RetryAfter is when to come back. Zero means that the same request would
	// be refused again.
	RetryAfter time.Duration
	// mayHaveStarted is set if an attempt may have run.
	mayHaveStarted bool
}

// refuse returns a refusal of a request that was not run.
func refuse(reason outcome.Reason, message string) *Refusal {
	r := &Refusal{Final: outcome.Refused, Reason: reason, Message: message}
	if !callersFault(reason) {
		r.RetryAfter = defaultReturn
	}
	return r
}

// status maps a refusal to its HTTP status.
func (r *Refusal) status() int {
	if r.Final != outcome.Refused {
		return unknownStatus(r.Reason)
	}
	if s, ok := refusedStatus[r.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

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

// callersFault tells the reasons for which the same request fails again.
func callersFault(reason outcome.Reason) bool {
	switch reason {
	case outcome.BadRequest, outcome.UnknownClass, outcome.KeyRequired, outcome.BodyTooLarge,
		outcome.HeaderTooLarge, outcome.Unauthorised, outcome.UnknownModel, outcome.NotAllowed,
		outcome.KeyConflict:
		return true
	default:
		return false
	}
}

// errorBody is the JSON of a refusal, in the shape of the OpenAI protocol.
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

func (r *Refusal) run() string {
	if r.Final == outcome.Refused {
		return "no"
	}
	return "unknown"
}

// json returns the refusal's body.
func (r *Refusal) json() []byte {
	message := r.Message
	if message == "" {
		message = "the request was not completed: " + r.Reason.String()
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message:      message,
		Type:         "bergamotpin_" + r.Final.String(),
		Code:         r.Reason.String(),
		Reason:       r.Reason.String(),
		Run:          r.run(),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		panic("proxy: a refusal does not encode: " + err.Error())
	}
	return body
}

// write answers with the refusal. Nothing was written before.
func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, r.run())
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(r.status())
	// A failed write means that the caller left.
	_, _ = w.Write(r.json())
}
