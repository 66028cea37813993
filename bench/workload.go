package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// Workload describes the callers, engines and faults of one run.
type Workload struct {
	Name string
	// Duration is the time during which new callers arrive.
	Duration time.Duration
	// GoodputUntil ends the window of arrivals that count for goodput. Zero
	// means Duration.
	GoodputUntil time.Duration
	// DrainTimeout is the time after Duration in which requests may still get
	// an outcome. Refused callers may return until lastReturn.
	DrainTimeout time.Duration
	Engines      []EngineSpec
	// Slots is the number of slots per engine that the policy is told. Zero
	// means the true number, which is the size of an engine's batch.
	Slots         int
	Classes       []ClassLoad
	Organisations []OrganisationLoad
	Faults        []Fault
	// ReturnShare is the probability that a refused caller returns after its
	// Retry-After time.
	ReturnShare float64
	// Targets are the bounds that CheckTargets checks a run against.
	Targets Targets
}

// slots returns the number of slots per engine that the policy is told.
func (w *Workload) slots() int {
	if w.Slots > 0 {
		return w.Slots
	}
	return engineBatchSize
}

// lastReturn returns the time until which refused callers may return. After
// lastReturn the run goes on for the longest deadline of a class, so that the
// requests of returning callers have an outcome before the run's end.
func (w *Workload) lastReturn() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	return w.Duration + w.DrainTimeout - longest
}

// OrganisationLoad is an organisation and its share of the arrivals.
type OrganisationLoad struct {
	schedcore.Organisation
	// The organisation's part of the arrivals is Share divided by the sum of
	// all organisations' shares.
	Share float64
}

// ClassLoad is a service class and the load of its callers.
type ClassLoad struct {
	schedcore.Class
	Idempotent bool
	// Deadline is how long callers wait for the whole answer before they leave.
	// Zero means without limit.
	Deadline time.Duration
	// LeaveShare is the share of callers that wait only LeaveAfter for the whole
	// answer, and then leave.
	LeaveShare float64
	LeaveAfter time.Duration
	// PromptLengths and AnswerLengths are the distributions of lengths in
	// tokens. The policy isn't told the length of an answer.
	PromptLengths LengthDistribution
	AnswerLengths LengthDistribution
	// Prefixes is the number of distinct prompt prefixes, each PrefixTokens
	// long. Zero means that prompts share nothing.
	Prefixes     int
	PrefixTokens int
	// Rates are the arrival rates over time, in order of From.
	Rates []Rate
}

// Rate is an arrival rate. It holds from the time From after the run's start
// until the next Rate of the class or the end of arrivals.
type Rate struct {
	From      time.Duration
	PerSecond float64
}

// LengthDistribution is a distribution of token counts: lognormal, or Pareto if
// Shape is set. Values are clamped to the range from 1 to Max.
type LengthDistribution struct {
	// Median is the median of the lognormal distribution, or the least value of
	// the Pareto distribution.
	Median float64
	// Sigma is the standard deviation of the value's logarithm in the lognormal
	// distribution.
	Sigma float64
	// Shape is the tail index of the Pareto distribution. Zero means lognormal.
	Shape float64
	Max   int
}

func (l LengthDistribution) sample(rng *rand.Rand) int {
	v := l.Median * math.Exp(l.Sigma*rng.NormFloat64())
	if l.Shape > 0 {
		v = l.Median * math.Pow(1-rng.Float64(), -1/l.Shape)
	}
	n := int(math.Round(v))
	return min(max(n, 1), l.Max)
}

// meanSeed and meanSamples are the seed and the number of samples of
// LengthDistribution.mean.
const (
	meanSeed    = 7
	meanSamples = 20000
)

// mean estimates the mean of the distribution from samples that are drawn with
// a fixed seed.
func (l LengthDistribution) mean() float64 {
	rng := rand.New(rand.NewPCG(meanSeed, meanSeed))
	sum := 0
	for range meanSamples {
		sum += l.sample(rng)
	}
	return float64(sum) / meanSamples
}

// FaultKind says what fails.
type FaultKind uint8

// Kinds of faults.
const (
	// EngineCrash stops an engine for the fault's duration. The engine loses its
	// sequences and its prefix cache.
	EngineCrash FaultKind = iota + 1
	// ReportOutage stops the sending of load reports and cache hints by all
	// engines for the fault's duration.
	ReportOutage
	// SchedulerLoss stops the scheduler. At the fault's end a new scheduler
	// without state replaces it. The fault's duration is the time to detect the
	// loss; messages to the scheduler are lost until then.
	SchedulerLoss
)

// Fault is one failure in a run. It begins at the time At after the run's start
// and lasts Duration. Engine is the index of the engine that an EngineCrash
// stops.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Engine   int
}

// arrivalRate returns the requests per second of a class that take the given
// share of the fleet's capacity, if shared prefixes are always cached.
func arrivalRate(load ClassLoad, fleet []EngineSpec, share float64) float64 {
	prompt := load.PromptLengths.mean()
	if load.Prefixes > 0 {
		prompt -= float64(load.PrefixTokens)
	}
	cost := minEngineSeconds(max(prompt, 0), load.AnswerLengths.mean())
	return share * fleetSpeed(fleet) / cost
}
