package scheduler

import (
	"context"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// DecisionKind tells verdicts apart.
type DecisionKind uint8

// The kinds of verdicts.
const (
	// Granted lets the attempt run on Server.
	Granted DecisionKind = iota + 1
	// Refused ends the request with Final and Reason.
	Refused
	// Preempted stops the running attempt; another verdict follows.
	Preempted
	// referred sends the waiting ticket to another data centre's pool. Remote
	// follows it; callers never see it.
	referred
)

// Decision is one decision about one ticket.
type Decision struct {
	Kind     DecisionKind
	Server   string
	Attempt  uint32
	Priority int
	// Continue says that the answer goes on after the delivered tokens.
	Continue   bool
	Final      outcome.Final
	Reason     outcome.Reason
	RetryAfter time.Duration
	// DataCentre is where a referral goes.
	DataCentre string
}

// Session is one request's tie to its scheduler. Reports never block. Methods
// are safe for concurrent use.
type Session interface {
	// Decisions yields decisions in order. It is not closed.
	Decisions() <-chan Decision
	// FirstToken reports the time from sending the attempt to its first token.
	FirstToken(attempt uint32, after time.Duration)
	// Progress reports tokens since the last report and their mean gap.
	Progress(attempt uint32, tokens int, gap time.Duration)
	// Fail reports a failed attempt; a verdict follows.
	Fail(f schedcore.Failure)
	// Complete reports the completed attempt and closes the session.
	Complete(e schedcore.Completion)
	// Withdraw closes the session because the caller left.
	Withdraw()
}

// Scheduler takes tickets. It is safe for concurrent use.
type Scheduler interface {
	// Submit queues the ticket. It returns at once; decisions come through the
	// session.
	Submit(ctx context.Context, t schedcore.Ticket) Session
}
