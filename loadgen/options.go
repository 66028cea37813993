package loadgen

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/answer"
)

// ErrNoAddress reports options without an address to send to.
var ErrNoAddress = errors.New("loadgen: no address")

// ErrNoClass reports a workload without classes or organisations.
var ErrNoClass = errors.New("loadgen: no class or no organisation")

// Defaults of Options.
const (
	DefaultDrain         = 30 * time.Second
	DefaultMaxOpen       = 20_000 // requests
	DefaultProgressEvery = time.Second
)

// Options sets up a run. The zero value of an optional field takes its
// default.
type Options struct {
	// Addresses are the callers' addresses, as host and port. Requests take
	// them in turn.
	Addresses []string
	// Duration is for how long requests arrive.
	Duration time.Duration
	// Drain is how long the run waits for answers after the last arrival.
	Drain    time.Duration
	Workload Workload
	// Seed feeds arrivals, lengths and habits.
	Seed uint64
	// MaxOpen bounds the requests under way. Arrivals beyond it are counted as
	// skipped.
	MaxOpen int
	// TraceOutput receives the trace as JSON lines of TraceRecord. Nil for none.
	TraceOutput io.Writer
	// Transport replaces the HTTP transport, for tests.
	Transport http.RoundTripper
	RunCounts RunCounts
	// OnProgress is called every ProgressEvery. Nil for none.
	OnProgress    func(Progress)
	ProgressEvery time.Duration
}

// RunCounts asks the backend servers what they ran, once all answers are in. A
// nil function skips its check.
type RunCounts struct {
	// KeyRuns returns how often a call with the idempotency key ran.
	KeyRuns func(key string) int
	// PromptRuns returns how often a prompt ran.
	PromptRuns func(prompt answer.Digest) int
}

// Workload is what callers send.
type Workload struct {
	Name          string
	Classes       []Class
	Organisations []Organisation
}

// Organisation sends a share of the requests.
type Organisation struct {
	Name string
	// Key is the callers' key.
	Key string
	// Share is relative to the other organisations' shares.
	Share float64
}

// Class is one kind of request.
type Class struct {
	// Name is the service class.
	Name string
	// Spec is the service class's own; its targets are what attainment is
	// measured against.
	Spec api.ServiceClassSpec
	// Route is the model's name that callers use, or the plain service's.
	Route string
	// RouteSpec says among other things if the route leads to a plain service.
	RouteSpec api.RouteSpec
	// Rate is the mean number of arrivals a second.
	Rate   float64
	Bursts []Burst
	// Prompt and Answer are lengths in tokens, the prefix not counted.
	Prompt Lengths
	Answer Lengths
	// Prefixes is the number of different prefixes that the prompts share, of
	// PrefixTokens each. Zero means none.
	Prefixes     int
	PrefixTokens int
	// MaxTokens is the bound that callers send. Zero means none is sent.
	MaxTokens int
	// UnaryShare is the share of requests that ask for no stream, from 0 to 1.
	UnaryShare float64
	// Deadline is what callers send as theirs. Zero means none is sent.
	Deadline time.Duration
	// LeaveShare is the share of callers that leave, after LeaveAfter on
	// average.
	LeaveShare float64
	LeaveAfter time.Duration
	// ReturnShare is the share of refused callers that return once, after the
	// time that the refusal tells, if that lies within the run.
	ReturnShare float64
	// DuplicateShare is the share of service calls that are sent a second time at
	// once, with the same key.
	DuplicateShare float64
}

// Burst multiplies a class's rate for a time.
type Burst struct {
	At     time.Duration // since the run's start
	For    time.Duration
	Factor float64
}

// Lengths is a lognormal distribution of tokens.
type Lengths struct {
	Median int
	// Sigma is the standard deviation of the logarithm. Zero means that each
	// length is Median.
	Sigma float64
	Max   int // zero for no bound
}

// Progress is an interim count.
type Progress struct {
	Elapsed    time.Duration
	Requests   int
	Open       int
	Completed  int
	Refused    int
	Unknown    int
	Violations int
}

func (o Options) withDefaults() Options {
	if o.Drain == 0 {
		o.Drain = DefaultDrain
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.ProgressEvery == 0 {
		o.ProgressEvery = DefaultProgressEvery
	}
	return o
}

func (o Options) validate() error {
	if len(o.Addresses) == 0 {
		return ErrNoAddress
	}
	if len(o.Workload.Classes) == 0 || len(o.Workload.Organisations) == 0 {
		return ErrNoClass
	}
	return nil
}
