package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// RequestID identifies a request across all instances.
type RequestID [16]byte

// Ticket is what the core knows of a request. All durations are relative to
// the tick at which the ticket is applied, so that the clocks of instances need not
// agree.
type Ticket struct {
	ID           RequestID     `cbor:"1,keyasint"`
	Model        string        `cbor:"2,keyasint"`
	Class        string        `cbor:"3,keyasint"`
	Organisation string        `cbor:"4,keyasint"`
	Waited       time.Duration `cbor:"5,keyasint,omitempty"` // time since the caller's request arrived
	Deadline     time.Duration `cbor:"6,keyasint,omitempty"` // time left, zero for no deadline
	PromptTokens int           `cbor:"7,keyasint,omitempty"`
	MaxTokens    int           `cbor:"8,keyasint,omitempty"` // limit set by the caller, zero if unknown
	Prefix       uint64        `cbor:"9,keyasint,omitempty"` // digest of the prompt's prefix
	PrefixTokens int           `cbor:"10,keyasint,omitempty"`
	Idempotent   bool          `cbor:"11,keyasint,omitempty"`
	// Delivered counts the answer's tokens that the caller already has.
	Delivered int `cbor:"12,keyasint,omitempty"`
	// Attempt is the number of the last attempt, zero before the first.
	Attempt uint32 `cbor:"13,keyasint,omitempty"`
	// Referred marks a ticket that was referred here by another data centre's
	// pool.
	Referred bool `cbor:"14,keyasint,omitempty"`
	// Server is the server at which the request already runs, or empty. If it is
	// set, the ticket claims the request's slot at the server. Such tickets are
	// sent if the request's scheduler changed.
	Server string `cbor:"15,keyasint,omitempty"`
}

// Class is a service class as the core uses it. Tier 0 is the highest tier.
// FirstToken, BetweenTokens and WholeAnswer are latency targets; zero means no
// target. Floor is the share of the pool's slots that is reserved for the
// class. MaxWait limits the wait for a grant; zero means no limit.
type Class struct {
	Name          string
	Tier          int
	FirstToken    time.Duration
	BetweenTokens time.Duration
	WholeAnswer   time.Duration
	Floor         float64
	MaxWait       time.Duration
}

// Organisation sets an organisation's weight within each class.
type Organisation struct {
	Name   string
	Weight float64
}

// Server is a backend server of the pool. Slots is its configured number of
// concurrent requests. If Draining is set, the server gets no new requests.
type Server struct {
	Name     string
	Slots    int
	Draining bool
}

// Config replaces the core's classes, organisations and servers.
type Config struct {
	Classes       []Class
	Organisations []Organisation
	Servers       []Server
}

// FirstToken reports that an attempt returned its first token.
type FirstToken struct {
	ID      RequestID     `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	After   time.Duration `cbor:"3,keyasint"` // time since the attempt was sent
}

// Progress reports the tokens of an attempt since its last report.
type Progress struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Tokens  int       `cbor:"3,keyasint"`
	// Gap is the mean time between the tokens of this report.
	Gap time.Duration `cbor:"4,keyasint"`
}

// Completion reports that an attempt completed. Tokens counts the tokens of the
// answer, CachedTokens the tokens of the prompt that the server had cached.
type Completion struct {
	ID           RequestID `cbor:"1,keyasint"`
	Attempt      uint32    `cbor:"2,keyasint"`
	PromptTokens int       `cbor:"3,keyasint,omitempty"`
	Tokens       int       `cbor:"4,keyasint,omitempty"`
	CachedTokens int       `cbor:"5,keyasint,omitempty"`
}

// Failure reports that an attempt failed.
type Failure struct {
	ID      RequestID      `cbor:"1,keyasint"`
	Attempt uint32         `cbor:"2,keyasint"`
	Reason  outcome.Reason `cbor:"3,keyasint"`
	// NotStarted is set if the server did not start the request: either
	// nothing was sent, or the server said so.
	NotStarted bool `cbor:"4,keyasint,omitempty"`
	// Delivered counts all tokens of the answer that the caller has.
	Delivered int `cbor:"5,keyasint,omitempty"`
}

// Withdrawal ends a request because its caller left or its entry instance gave it
// up. The entry instance is the instance that received the request from the
// caller.
type Withdrawal struct {
	ID RequestID `cbor:"1,keyasint"`
}

// LoadReport is a server's own count of its requests. Age is the time since the
// server made the count.
type LoadReport struct {
	Server  string        `cbor:"1,keyasint"`
	Running int           `cbor:"2,keyasint"`
	Waiting int           `cbor:"3,keyasint"`
	KVUsed  float64       `cbor:"4,keyasint"`
	Age     time.Duration `cbor:"5,keyasint"`
}

// CacheHint says that a server stored or evicted a prompt prefix. Hints may
// come late or not at all.
type CacheHint struct {
	Server  string `cbor:"1,keyasint"`
	Prefix  uint64 `cbor:"2,keyasint"`
	Tokens  int    `cbor:"3,keyasint"`
	Evicted bool   `cbor:"4,keyasint,omitempty"`
}

// FreeCapacity reports another data centre's free slots for the same model.
type FreeCapacity struct {
	DataCentre string `cbor:"1,keyasint"`
	// Free counts the slots that the other pool's own queue does not need.
	Free int `cbor:"2,keyasint"`
	// Lifetime is how long the report may be used.
	Lifetime time.Duration `cbor:"3,keyasint"`
}

// Input collects the events of one tick. Tick applies the events in the order of
// the fields. The caller owns the slices and may reuse them after Tick.
type Input struct {
	Config         *Config // nil if unchanged
	LoadReports    []LoadReport
	CacheHints     []CacheHint
	FreeCapacities []FreeCapacity
	FirstTokens    []FirstToken
	Progress       []Progress
	Completions    []Completion
	Failures       []Failure
	Withdrawals    []Withdrawal
	Tickets        []Ticket
}

// Grant lets a request run on a server.
type Grant struct {
	ID      RequestID
	Server  string
	Attempt uint32
	// Priority is the priority to pass to the engine. 0 is the most urgent.
	Priority int
	// Continue is set if the attempt must generate only the rest of the answer,
	// because the caller already has the beginning.
	Continue bool
	// Reason says why an earlier attempt ended. It is ReasonNone for a first
	// attempt.
	Reason outcome.Reason
	// Floor is set if the slot counts against the class's floor.
	Floor bool
}

// Refusal ends a request. Final is Refused if the request was not run, and
// Unknown if it may have run.
type Refusal struct {
	ID         RequestID
	Final      outcome.Final
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Preemption stops a running attempt in favour of a higher tier. The request
// waits again and is granted or refused later.
type Preemption struct {
	ID      RequestID
	Server  string
	Attempt uint32
}

// Referral sends a waiting ticket to another data centre. The pool of the same
// model there then decides on the ticket.
type Referral struct {
	ID         RequestID
	DataCentre string
}

// Output collects the decisions of one tick. The caller owns the slices; Tick
// truncates and refills them.
type Output struct {
	Grants      []Grant
	Refusals    []Refusal
	Preemptions []Preemption
	Referrals   []Referral
}

// Reset truncates the slices and keeps their memory.
func (o *Output) Reset() {
	o.Grants = o.Grants[:0]
	o.Refusals = o.Refusals[:0]
	o.Preemptions = o.Preemptions[:0]
	o.Referrals = o.Referrals[:0]
}

// Reset truncates the slices and keeps their memory.
func (in *Input) Reset() {
	in.Config = nil
	in.LoadReports = in.LoadReports[:0]
	in.CacheHints = in.CacheHints[:0]
	in.FreeCapacities = in.FreeCapacities[:0]
	in.FirstTokens = in.FirstTokens[:0]
	in.Progress = in.Progress[:0]
	in.Completions = in.Completions[:0]
	in.Failures = in.Failures[:0]
	in.Withdrawals = in.Withdrawals[:0]
	in.Tickets = in.Tickets[:0]
}

// Options sets a core's parameters. A field that is zero takes its default.
type Options struct {
	// Seed seeds the random jitter of Retry-After times.
	Seed uint64
	// MaxQueue limits the waiting requests of the pool.
	MaxQueue int
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// RunningTimeout is how long a running request keeps its slot without a
	// first token, progress (even without tokens) or a repeated claim. After
	// this time the request ends with outcome Unknown, so that a lost Completion
	// does not hold a slot forever.
	RunningTimeout time.Duration
	// MinFloor is the floor of each class that is configured with a lower floor
	// or none, so that no class starves.
	MinFloor float64
	// MaxExplainRecords is how many explain records are kept. If it is zero, no
	// records are made.
	MaxExplainRecords int
}
