// Package outcome defines how a request ends and why.
//
// If the caller waits for the end of its request, the request ends in one of
// three ways: Completed, Refused (the request was not run) or Unknown (the
// request may have run). Refused is reported only if no byte was sent to a
// backend server, or if the server stated that it did not start the request.
package outcome

// Final is the final outcome of a request.
type Final uint8

// Final outcomes.
const (
	Completed Final = iota + 1
	Refused
	Unknown
	// Abandoned means that the caller left before the request ended.
	Abandoned
)

var finalNames = [...]string{"invalid", "completed", "refused", "unknown", "abandoned"}

// String returns the outcome's name in metrics and logs.
func (f Final) String() string { return nameOf(finalNames[:], int(f)) }

// Reason says why a request was refused, retried, preempted or referred. A
// request is referred if the scheduler sends it to another data centre.
type Reason uint8

// Reasons. Their names are stable, since metrics, logs and responses contain
// them.
const (
	ReasonNone Reason = iota
	BadRequest
	BodyTooLarge
	HeaderTooLarge
	Unauthorised
	UnknownModel
	UnknownClass
	NotAllowed
	// KeyRequired means that the route requires an idempotency key and the
	// request has none.
	KeyRequired
	// KeyConflict means that the idempotency key was used with another request.
	KeyConflict
	// KeyInProgress means that a request with the same idempotency key is still
	// running.
	KeyInProgress
	// KeyStoreUnavailable means that the idempotency key could not be claimed.
	KeyStoreUnavailable
	// Infeasible means that the request would miss its latency target.
	Infeasible
	QueueFull
	// Evicted means that a waiting request was refused because a request of a
	// more urgent tier was refused for lack of capacity or preempted.
	Evicted
	// WaitExceeded means that the request waited for longer than its class
	// allows.
	WaitExceeded
	DeadlinePassed
	NoBackendServer
	RetryBudgetSpent
	// AttemptsSpent means that no further attempt is allowed: the limit is
	// reached, or the request is not idempotent and may have started.
	AttemptsSpent
	// SchedulerLost means that the scheduler lost its state of a request that
	// may have run and is not idempotent.
	SchedulerLost
	// InstanceLeaving means that the instance is leaving and accepts no
	// request, or none that may outlive it.
	InstanceLeaving
	// NotReady means that the instance does not know the configuration yet.
	NotReady
	ServerRefused
	ServerUnreachable
	StreamCut
	ServerTimeout
	ServerError
	Preempted
	CallerLeft
	// NoFreeCapacity means that the request was referred to another data
	// centre, whose pool had free slots.
	NoFreeCapacity
	// Continued means that another server went on with a stream after a
	// failure.
	Continued
	// Resumed means that a cut stream was continued at the same server.
	Resumed
	// BodyTimeout means that the request's body did not arrive in time.
	BodyTimeout
	// KeyCompleted means that an earlier request with the same idempotency key
	// ran, and that its response is not stored.
	KeyCompleted
	// KeyUnknown means that an earlier request with the same idempotency key
	// may have run.
	KeyUnknown
	// UnknownRoute means that no route matches the request's host and path.
	UnknownRoute
	// ResponseMismatch means that a backend server's response does not belong
	// to the request.
	ResponseMismatch
	// ServerMoved means that the address now belongs to another server.
	ServerMoved
	// HeldBack means that the request was refused because more urgent requests are
	// late.
	HeldBack
	// PromptWithheld means that the request's prompt holds a part under which several
	// servers ended.
	PromptWithheld
	// ServersLimited means that all servers that could run the request name limits, and
	// that there is no room for it.
	ServersLimited
	// RequestWithheld means that several servers ended under the same request.
	RequestWithheld
	// StreamOriginUnknown means that it is not known which software version began the
	// stream that a request takes up.
	StreamOriginUnknown
	// VersionNotListed means that no stream may begin yet at the software versions that
	// there are, because the store doesn't list them.
	VersionNotListed
	// ServersRest means that all servers that could run the request asked for time.
	ServersRest
	// MemoryShort means that there was no memory for the request's body.
	MemoryShort
	reasonCount
)

// ReasonCount is the number of reasons, as a size for arrays of counters.
const ReasonCount = int(reasonCount)

var reasonNames = [...]string{
	"none", "bad_request", "body_too_large", "header_too_large", "unauthorised",
	"unknown_model", "unknown_class", "not_allowed", "key_required", "key_conflict",
	"key_in_progress", "key_store_unavailable", "infeasible", "queue_full", "evicted",
	"wait_exceeded", "deadline_passed", "no_backend_server", "retry_budget_spent",
	"attempts_spent", "scheduler_lost", "instance_leaving", "not_ready",
	"server_refused", "server_unreachable", "stream_cut", "server_timeout",
	"server_error", "preempted", "caller_left", "pool_pressure", "continued", "resumed",
	"body_timeout", "key_completed", "key_unknown",
	"unknown_route", "garbled", "server_moved", "held_back", "prompt_withheld", "servers_limited", "request_withheld",
	"stream_origin_unknown", "version_not_listed", "servers_rest", "memory_short",
}

// String returns the reason's name in metrics, logs and responses.
func (r Reason) String() string { return nameOf(reasonNames[:], int(r)) }

// Reasons returns all reasons, for building sets of counters.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// nameOf returns names[i], or names[0] if there is no such element.
func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return names[0]
	}
	return names[i]
}
