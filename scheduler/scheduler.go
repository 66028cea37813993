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
	// Preempted stops the running attempt. A later decision grants or refuses
	// the request.
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
	// Continue means that the attempt generates only the rest of the response.
	// The caller already has the beginning from an earlier attempt.
	Continue   bool
	Final      outcome.Final
	Reason     outcome.Reason
	RetryAfter time.Duration
	// DataCentre is the data centre to which a referral moves the ticket.
	DataCentre string
}

// Session is the connection between one request and its scheduler. The
// reporting methods never block. All methods are safe for concurrent use.
type Session interface {
	// Decisions returns a channel of the decisions in order. The channel is
	// never closed.
	Decisions() <-chan Decision
	// FirstToken reports that the attempt's first token arrived. The argument
	// after is the time from sending the attempt to that token.
	FirstToken(attempt uint32, after time.Duration)
	// Progress reports the number of tokens received since the last report, and
	// in gap the mean time between two of these tokens.
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
