package scheduler

import (
	"context"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// DecisionKind is the kind of a decision.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Granted allows the attempt to run on Server.
	Granted DecisionKind = iota + 1
	// Refused ends the request with the outcome Final for the given Reason.
	Refused
	// Preempted stops the running attempt. A further decision follows.
	Preempted
	// referred moves a waiting ticket to another data centre's pool. Remote
	// handles it, so callers of this package never see it.
	referred
)

// Decision is what a scheduler decided about one ticket.
type Decision struct {
	Kind     DecisionKind
	Server   string
	Attempt  uint32
	Priority int
	// Continue means that the attempt continues the response after the tokens
	// that were already delivered.
	Continue   bool
	Final      outcome.Final
	Reason     outcome.Reason
	RetryAfter time.Duration
	// DataCentre is the target of a referral.
	DataCentre string
}

// Session is the connection between one request and its scheduler. The
// reporting methods never block. All methods are safe for concurrent use.
type Session interface {
	// Decisions returns a channel of the decisions in order. The channel is
	// never closed.
	Decisions() <-chan Decision
	// FirstToken reports the time from sending the attempt to receiving its
	// first token.
	FirstToken(attempt uint32, after time.Duration)
	// Progress reports the tokens received since the last report and the mean
	// time between them.
	Progress(attempt uint32, tokens int, gap time.Duration)
	// Fail reports a failed attempt. A further decision follows.
	Fail(f schedcore.Failure)
	// Complete reports that the attempt completed, and closes the session.
	Complete(e schedcore.Completion)
	// Withdraw closes the session because the caller left.
	Withdraw()
}

// Scheduler accepts tickets. It is safe for concurrent use.
type Scheduler interface {
	// Submit queues the ticket and returns at once. The decisions arrive
	// through the session.
	Submit(ctx context.Context, t schedcore.Ticket) Session
}
