package loadgen

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/answer"
)

// ErrNoAddress reports that Options.Addresses is empty.
var ErrNoAddress = errors.New("loadgen: no address to send to")

// ErrNoClass reports a workload without classes or without organisations.
var ErrNoClass = errors.New("loadgen: workload without classes or organisations")

// Defaults of Options.
const (
	DefaultDrain         = 30 * time.Second
	DefaultMaxOpen       = 20_000 // requests
	DefaultProgressEvery = time.Second
)

// Options configures a run. The zero value of an optional field selects its
// default.
type Options struct {
	// Addresses are the router's addresses for callers, as host:port. Requests
	// are spread over them in turn.
	Addresses []string
	// Duration is how long requests arrive.
	Duration time.Duration
	// DrainTimeout is how long the run waits for open requests after the last
	// arrival.
	DrainTimeout time.Duration
	Workload     Workload
	// Seed is the seed of arrivals, lengths and caller behaviour.
	Seed uint64
	// MaxOpen limits the number of open requests. An arrival above the limit is
	// not sent and counts as skipped.
	MaxOpen int
	// TraceOutput receives one TraceRecord for each request, as JSON lines. If
	// it is nil, no trace is written.
	TraceOutput io.Writer
	// Transport replaces the default HTTP transport if it is set.
	Transport http.RoundTripper
	// RunCounts counts what the backend servers ran, so that the run can check
	// the guarantees to callers.
	RunCounts RunCounts
	// OnProgress is called at intervals of ProgressEvery. It may be nil.
	OnProgress func(Progress)
	// ProgressEvery is the time between two calls of OnProgress.
	ProgressEvery time.Duration
}

// RunCounts holds functions that count what the backend servers ran. Run calls
// the functions after all requests have ended. If a function is nil, Run skips
// the checks that need its counts.
type RunCounts struct {
	// KeyRuns returns how often the call with the idempotency key ran.
	KeyRuns func(key string) int
	// PromptRuns returns how often the prompt ran.
	PromptRuns func(prompt answer.PromptDigest) int
}

// Workload describes the requests that callers send.
type Workload struct {
	Name          string
	Classes       []Class
	Organisations []Organisation
}

// Organisation is a customer that sends a share of the requests.
type Organisation struct {
	Name string
	// Key is the secret with which the organisation's callers authenticate.
	Key string
	// Share is the organisation's weight: its share of the requests is Share
	// divided by the sum over all organisations.
	Share float64
}

// Class describes the requests of one service class.
type Class struct {
	// Name is the name of the service class.
	Name string
	// Spec is the service class's specification. Attainment is measured against
	// its latency targets.
	Spec api.ServiceClassSpec
	// Route is the name that callers put into requests: a model or a plain
	// service.
	Route string
	// RouteSpec is the route's specification. Its field Service tells whether
	// Route is a plain service.
	RouteSpec api.RouteSpec
	// Rate is the mean number of arrivals per second outside of bursts.
	Rate float64
	// Bursts are the times at which the rate is higher or lower than Rate.
	Bursts []Burst
	// PromptLengths and AnswerLengths are the lengths in tokens. PromptLengths
	// doesn't include the shared prefix.
	PromptLengths LengthDistribution
	AnswerLengths LengthDistribution
	// Prefixes is the number of different shared prefixes of PrefixTokens
	// tokens each. Each prompt begins with one of them. Zero means that prompts
	// have no shared prefix.
	Prefixes     int
	PrefixTokens int
	// MaxTokens is the limit on the length of an answer, in tokens. Callers
	// state it in their requests. Zero means that callers state no limit.
	MaxTokens int
	// UnaryShare is the share of requests that ask for a response without
	// streaming, from 0 to 1.
	UnaryShare float64
	// Deadline is the time limit that callers state in their requests. Zero
	// means that callers state no time limit.
	Deadline time.Duration
	// LeaveShare is the share of callers that leave before they have the
	// answer, from 0 to 1. MeanLeaveAfter is the mean time until they leave.
	LeaveShare     float64
	MeanLeaveAfter time.Duration
	// ReturnShare is the share of refused callers that return, from 0 to 1.
	// Such a caller returns once, after the Retry-After time of its refusal. It
	// doesn't return if that time ends after the run.
	ReturnShare float64
	// DuplicateShare is the share of calls to plain services that are sent
	// twice at the same time with the same key, from 0 to 1.
	DuplicateShare float64
}

// Burst multiplies a class's arrival rate by Factor for a limited time.
type Burst struct {
	Start    time.Duration // time from the start of the run to the start of the burst
	Duration time.Duration // length of the burst
	Factor   float64
}

// LengthDistribution is a lognormal distribution of lengths in tokens.
type LengthDistribution struct {
	Median int
	// Sigma is the standard deviation of the logarithm of the length. If it is
	// zero, each length is Median.
	Sigma float64
	Max   int // upper bound; zero for none
}

// Progress holds the counts of a run that is under way.
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
	if o.DrainTimeout == 0 {
		o.DrainTimeout = DefaultDrain
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
