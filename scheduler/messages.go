package scheduler

import (
	"encoding/binary"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// Limits of one message.
const (
	maxTickets  = 500
	maxReports  = 2000
	maxVerdicts = 1000
)

// sessionID names one stay of a request at one scheduler. The epoch rises with
// each move.
type sessionID struct {
	ID    schedcore.RequestID `cbor:"1,keyasint"`
	Epoch uint32              `cbor:"2,keyasint,omitempty"`
}

// hosted returns the id under which the scheduler's core knows the stay. A core
// remembers ended requests, so each stay needs an id of its own.
func (s sessionID) hosted() schedcore.RequestID {
	id := s.ID
	low := binary.BigEndian.Uint32(id[12:])
	binary.BigEndian.PutUint32(id[12:], low^s.Epoch)
	return id
}

type submission struct {
	Epoch  uint32           `cbor:"1,keyasint,omitempty"`
	Ticket schedcore.Ticket `cbor:"2,keyasint"`
}

// ticketBatch is the request of KindTickets. An empty one asks for a sign of
// life.
type ticketBatch struct {
	// Life is a number of the sender's process.
	Life    uint64       `cbor:"1,keyasint"`
	Tickets []submission `cbor:"2,keyasint,omitempty"`
	// Taken acknowledges verdicts that came with answers.
	Taken []uint64 `cbor:"3,keyasint,omitempty"`
}

// hostAnswer answers tickets and reports.
type hostAnswer struct {
	Life uint64 `cbor:"1,keyasint"`
	// Held counts the sender's sessions at the scheduler.
	Held int `cbor:"2,keyasint,omitempty"`
	// Verdicts are about the tickets that are answered.
	Verdicts []wireVerdict `cbor:"3,keyasint,omitempty"`
}

type firstTokenReport struct {
	Session sessionID     `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	After   time.Duration `cbor:"3,keyasint"`
}

type progressReport struct {
	Session sessionID     `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	Tokens  int           `cbor:"3,keyasint"`
	Gap     time.Duration `cbor:"4,keyasint"`
}

type failureReport struct {
	Epoch   uint32            `cbor:"1,keyasint,omitempty"`
	Failure schedcore.Failure `cbor:"2,keyasint"`
}

type endReport struct {
	Epoch uint32               `cbor:"1,keyasint,omitempty"`
	End   schedcore.Completion `cbor:"2,keyasint"`
}

// reportBatch is the request of KindReports.
type reportBatch struct {
	Life        uint64             `cbor:"1,keyasint"`
	FirstTokens []firstTokenReport `cbor:"2,keyasint,omitempty"`
	Progress    []progressReport   `cbor:"3,keyasint,omitempty"`
	Failures    []failureReport    `cbor:"4,keyasint,omitempty"`
	Ends        []endReport        `cbor:"5,keyasint,omitempty"`
	Withdrawals []sessionID        `cbor:"6,keyasint,omitempty"`
	Taken       []uint64           `cbor:"7,keyasint,omitempty"`
}

func (b *reportBatch) size() int {
	return len(b.FirstTokens) + len(b.Progress) + len(b.Failures) + len(b.Ends) + len(b.Withdrawals) + len(b.Taken)
}

type wireVerdict struct {
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
	// Number is the scheduler's number of the verdict.
	Number uint64 `cbor:"11,keyasint"`
}

func wireOf(s sessionID, v Decision) wireVerdict {
	return wireVerdict{
		Session: s, Kind: v.Kind, Server: v.Server, Attempt: v.Attempt, Priority: v.Priority,
		Continue: v.Continue, Final: v.Final, Reason: v.Reason, RetryAfter: v.RetryAfter,
		DataCentre: v.DataCentre,
	}
}

func (w wireVerdict) verdict() Decision {
	return Decision{
		Kind: w.Kind, Server: w.Server, Attempt: w.Attempt, Priority: w.Priority,
		Continue: w.Continue, Final: w.Final, Reason: w.Reason, RetryAfter: w.RetryAfter,
		DataCentre: w.DataCentre,
	}
}

// verdictBatch is the request of KindDecisions.
type verdictBatch struct {
	Verdicts []wireVerdict `cbor:"1,keyasint,omitempty"`
	// Checks asks whether the receiver still knows quiet sessions.
	Checks []sessionID `cbor:"2,keyasint,omitempty"`
}

// verdictAnswer names the sessions that the entry instance does not know.
type verdictAnswer struct {
	Unknown []sessionID `cbor:"1,keyasint,omitempty"`
}

// modelPressure is one pool's digest.
type modelPressure struct {
	Model    string                 `cbor:"1,keyasint"`
	Pressure schedcore.FreeCapacity `cbor:"2,keyasint"`
}

// pressureQuestion is the request of KindFreeCapacity: which of these models' pools
// have free slots?
type pressureQuestion struct {
	Models []string `cbor:"1,keyasint"`
}

type pressureAnswer struct {
	Pools []modelPressure `cbor:"1,keyasint,omitempty"`
}
