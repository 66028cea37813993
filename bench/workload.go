package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// Workload is what callers, engines and faults do in one run.
type Workload struct {
	Name string
	// Duration is the time during which new callers arrive.
	Duration time.Duration
	// GoodputUntil ends the window of the goodput figure. Zero means Duration.
	GoodputUntil time.Duration
	// Drain is the time after Duration in which requests may still end. Refused
	// callers may come back in it, up to the longest deadline before its end.
	Drain   time.Duration
	Engines []EngineSpec
	// Slots is the number of slots of an engine that the policy is told. Zero
	// means the true one.
	Slots         int
	Classes       []ClassLoad
	Organisations []OrganisationLoad
	Faults        []Fault
	// ReturnShare is the probability that a refused caller comes back at the
	// time that it was told.
	ReturnShare float64
	// Targets are the bounds that CheckTargets holds a run against.
	Targets Targets
}

// slots returns the number of slots of an engine that the policy is told.
func (w *Workload) slots() int {
	if w.Slots > 0 {
		return w.Slots
	}
	return engineBatch
}

// lastReturn is the time after which no caller comes back, so that each has
// its answer or its deadline before the run's end.
func (w *Workload) lastReturn() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	return w.Duration + w.Drain - longest
}

// OrganisationLoad is an organisation and its share of the arrivals.
type OrganisationLoad struct {
	schedcore.Organisation
	Share float64
}

// ClassLoad is a service class and the load that its callers bring.
type ClassLoad struct {
	schedcore.Class
	Idempotent bool
	// Deadline is how long callers wait for the whole answer before they
	// leave. Zero means for ever.
	Deadline time.Duration
	// LeaveShare is the share of callers that leave LeaveAfter their request
	// came, if they have no whole answer by then.
	LeaveShare float64
	LeaveAfter time.Duration
	// Prompt and Answer give the lengths in tokens. Answers are unknown to the
	// policy.
	Prompt Lengths
	Answer Lengths
	// Prefixes is the number of distinct prompt prefixes, each PrefixTokens
	// long. Zero means that prompts share nothing.
	Prefixes     int
	PrefixTokens int
	// Rates is the arrival rate over time, in order of From.
	Rates []Rate
}

// Rate is an arrival rate that holds from a moment on.
type Rate struct {
	From      time.Duration
	PerSecond float64
}

// Lengths is a distribution of token counts: lognormal, or Pareto if Shape is
// set, cut off at Max.
type Lengths struct {
	// Median is the median of the lognormal distribution, or the least value
	// of the Pareto distribution.
	Median float64
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	// Shape is the Pareto distribution's tail index.
	Shape float64
	Max   int
}

func (l Lengths) sample(rng *rand.Rand) int {
	v := l.Median * math.Exp(l.Sigma*rng.NormFloat64())
	if l.Shape > 0 {
		v = l.Median * math.Pow(1-rng.Float64(), -1/l.Shape)
	}
	n := int(math.Round(v))
	return min(max(n, 1), l.Max)
}

const (
	meanSeed    = 7
	meanSamples = 20000
)

// mean estimates the distribution's mean with a fixed seed.
func (l Lengths) mean() float64 {
	rng := rand.New(rand.NewPCG(meanSeed, meanSeed))
	sum := 0
	for range meanSamples {
		sum += l.sample(rng)
	}
	return float64(sum) / meanSamples
}

// FaultKind says what fails.
type FaultKind uint8

// The kinds of faults.
const (
	// EngineCrash stops an engine and loses its sequences and its cache.
	EngineCrash FaultKind = iota + 1
	// ReportsStop stops all load reports and cache events.
	ReportsStop
	// SchedulerLost replaces the scheduler by a fresh one. Messages to it are
	// lost for the fault's duration, which is the detection gap.
	SchedulerLost
)

// Fault is one failure in a run.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Engine int
}

// rateFor returns the requests a second that take the given share of the
// fleet's capacity.
func rateFor(load ClassLoad, fleet []EngineSpec, share float64) float64 {
	prompt := load.Prompt.mean()
	if load.Prefixes > 0 {
		prompt -= float64(load.PrefixTokens)
	}
	cost := engineSeconds(max(prompt, 0), load.Answer.mean())
	return share * fleetSpeed(fleet) / cost
}
