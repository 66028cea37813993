package scheduler

import (
	"encoding/binary"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// Upper bounds on the number of entries in one message.
const (
	maxTicketsPerMessage   = 500
	maxReportsPerMessage   = 2000
	maxDecisionsPerMessage = 1000
)

// sessionID identifies one assignment of a request to a scheduler. Epoch starts
// at 0 and increases by 1 with each new assignment of the request.
type sessionID struct {
	ID    schedcore.RequestID `cbor:"1,keyasint"`
	Epoch uint32              `cbor:"2,keyasint,omitempty"`
}

// coreID returns the request ID for this assignment in the scheduler's core. A
// core refuses to run an ended request again, so each assignment needs a
// different ID.
func (s sessionID) coreID() schedcore.RequestID {
	id := s.ID
	low := binary.BigEndian.Uint32(id[12:])
	binary.BigEndian.PutUint32(id[12:], low^s.Epoch)
	return id
}

// submission is a ticket with the epoch of its assignment to the scheduler.
type submission struct {
	Epoch  uint32           `cbor:"1,keyasint,omitempty"`
	Ticket schedcore.Ticket `cbor:"2,keyasint"`
}

// ticketBatch is the message of KindTickets. A batch without tickets is a
// keepalive.
type ticketBatch struct {
	// ProcessNonce is a random number drawn when the sender's process started.
	// It distinguishes processes that use the same address.
	ProcessNonce uint64       `cbor:"1,keyasint"`
	Tickets      []submission `cbor:"2,keyasint,omitempty"`
	// AckedDecisions holds the numbers of decisions that arrived with responses,
	// to acknowledge them.
	AckedDecisions []uint64 `cbor:"3,keyasint,omitempty"`
}

// hostResponse is the hosting scheduler's response to tickets and reports.
type hostResponse struct {
	ProcessNonce uint64 `cbor:"1,keyasint"`
	// HostedSessions is the number of sessions that the scheduler hosts for the
	// entry instance that receives this response.
	HostedSessions int `cbor:"2,keyasint,omitempty"`
	// Decisions holds decisions about the tickets to which this is the response.
	Decisions []wireDecision `cbor:"3,keyasint,omitempty"`
}

// firstTokenReport carries a call of Session.FirstToken.
type firstTokenReport struct {
	Session sessionID     `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	After   time.Duration `cbor:"3,keyasint"`
}

// progressReport carries one or more calls of Session.Progress for one attempt:
// the sum of their tokens and the mean of their gaps.
type progressReport struct {
	Session sessionID     `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	Tokens  int           `cbor:"3,keyasint"`
	Gap     time.Duration `cbor:"4,keyasint"`
}

// failureReport carries a call of Session.Fail.
type failureReport struct {
	Epoch   uint32            `cbor:"1,keyasint,omitempty"`
	Failure schedcore.Failure `cbor:"2,keyasint"`
}

// completionReport carries a call of Session.Complete.
type completionReport struct {
	Epoch      uint32               `cbor:"1,keyasint,omitempty"`
	Completion schedcore.Completion `cbor:"2,keyasint"`
}

// reportBatch is the message of KindCompletions.
type reportBatch struct {
	ProcessNonce   uint64             `cbor:"1,keyasint"`
	FirstTokens    []firstTokenReport `cbor:"2,keyasint,omitempty"`
	Progress       []progressReport   `cbor:"3,keyasint,omitempty"`
	Failures       []failureReport    `cbor:"4,keyasint,omitempty"`
	Completions    []completionReport `cbor:"5,keyasint,omitempty"`
	Withdrawals    []sessionID        `cbor:"6,keyasint,omitempty"`
	AckedDecisions []uint64           `cbor:"7,keyasint,omitempty"`
}

// size returns the number of entries in the batch.
func (b *reportBatch) size() int {
	return len(b.FirstTokens) + len(b.Progress) + len(b.Failures) + len(b.Completions) + len(b.Withdrawals) + len(b.AckedDecisions)
}

// wireDecision is a Decision as sent to the entry instance.
type wireDecision struct {
	Session    sessionID      `cbor:"1,keyasint"`
	Kind       DecisionKind   `cbor:"2,keyasint"`
	Server     string         `cbor:"3,keyasint,omitempty"`
	Attempt    uint32         `cbor:"4,keyasint,omitempty"`
	Priority   int            `cbor:"5,keyasint,omitempty"`
	Continue   bool           `cbor:"6,keyasint,omitempty"`
	Final      outcome.Final  `cbor:"7,keyasint,omitempty"`
	Reason     outcome.Reason `cbor:"8,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"9,keyasint,omitempty"`
	DataCentre string         `cbor:"10,keyasint,omitempty"`
	// Number identifies the decision at its scheduler. The entry instance
	// returns this number to acknowledge the decision.
	Number uint64 `cbor:"11,keyasint"`
}

func toWire(id sessionID, decision Decision) wireDecision {
	return wireDecision{
		Session: id, Kind: decision.Kind, Server: decision.Server, Attempt: decision.Attempt, Priority: decision.Priority,
		Continue: decision.Continue, Final: decision.Final, Reason: decision.Reason, RetryAfter: decision.RetryAfter,
		DataCentre: decision.DataCentre,
	}
}

func (w wireDecision) toDecision() Decision {
	return Decision{
		Kind: w.Kind, Server: w.Server, Attempt: w.Attempt, Priority: w.Priority,
		Continue: w.Continue, Final: w.Final, Reason: w.Reason, RetryAfter: w.RetryAfter,
		DataCentre: w.DataCentre,
	}
}

// decisionBatch is the message of KindDecisions.
type decisionBatch struct {
	Decisions []wireDecision `cbor:"1,keyasint,omitempty"`
	// SessionsToCheck lists sessions about which the scheduler has received no
	// message recently. The response names the listed sessions that the entry
	// instance does not know.
	SessionsToCheck []sessionID `cbor:"2,keyasint,omitempty"`
}

// decisionResponse is the entry instance's response to a decisionBatch. It names
// the sessions in the batch that the entry instance does not know or that have
// moved to another scheduler.
type decisionResponse struct {
	UnknownSessions []sessionID `cbor:"1,keyasint,omitempty"`
}

// modelFreeCapacity is the free capacity of one model's pool.
type modelFreeCapacity struct {
	Model        string                 `cbor:"1,keyasint"`
	FreeCapacity schedcore.FreeCapacity `cbor:"2,keyasint"`
}

// freeCapacityRequest is the message of KindFreeCapacity. It asks which of the
// pools of these models have free slots.
type freeCapacityRequest struct {
	Models []string `cbor:"1,keyasint"`
}

// freeCapacityResponse lists the pools that have free slots.
type freeCapacityResponse struct {
	Pools []modelFreeCapacity `cbor:"1,keyasint,omitempty"`
}
