// Package outcome names how a request ends and why.
//
// A request ends in one of three ways: Completed, Refused (it was not run) or
// Unknown (it may have run). Refused is claimed only if no byte went to a
// backend server, or if that server stated that it did not start.
package outcome

// Final is how a request ended.
type Final uint8

// The final outcomes.
const (
	Completed Final = iota + 1
	Refused
	Unknown
	// Abandoned means that the caller left before the end.
	Abandoned
)

var finalNames = [...]string{"invalid", "completed", "refused", "unknown", "abandoned"}

// String returns the outcome's name as metrics and logs use it.
func (f Final) String() string { return nameOf(finalNames[:], int(f)) }

// Reason says why a request was refused, retried, preempted or referred.
type Reason uint8

// The reasons. Their names are stable: metrics, logs and answers carry them.
const (
	ReasonNone Reason = iota
	BadRequest
	BodyTooLarge
	HeaderTooLarge
	Unauthorised
	UnknownModel
	UnknownClass
	NotAllowed
	KeyRequired
	KeyConflict
	KeyInProgress
	KeyStoreUnavailable
	Infeasible
	QueueFull
	Evicted
	WaitExceeded
	DeadlinePassed
	NoBackendServer
	RetryBudgetSpent
	AttemptsSpent
	SchedulerLost
	InstanceLeaving
	NotReady
	ServerRefused
	ServerUnreachable
	StreamCut
	ServerTimeout
	ServerError
	Preempted
	CallerLeft
	PoolPressure
	Continued
	Resumed
	BodyTimeout
	// KeyCompleted means that the key's request ran and its answer is not kept.
	KeyCompleted
	// KeyUnknown means that the key's request may have run.
	KeyUnknown
	// UnknownRoute means that no route has the request's host and path.
	UnknownRoute
	// Garbled means that a backend server's answer was not one to the request.
	Garbled
	// ServerMoved means that the address belongs to another server now.
	ServerMoved
	reasonCount
)

// ReasonCount is the number of reasons, for arrays of counters.
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
	"unknown_route", "garbled", "server_moved",
}

// String returns the reason's name as metrics, logs and answers use it.
func (r Reason) String() string { return nameOf(reasonNames[:], int(r)) }

// Reasons returns every reason, for tables of counters.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return names[0]
	}
	return names[i]
}
