package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/decision"
)

// Decider decides as decision.Core does: events in, typed actions out.
type Decider interface {
	Tick(now time.Duration, in *decision.Input, out *decision.Output)
}

// Policy makes the deciders of a run.
type Policy struct {
	Name string
	// New returns a decider without servers. It is called again when the
	// scheduler is lost.
	New func(seed uint64) Decider
}

// Core is the policy that the daemon runs.
func Core() Policy {
	return Policy{Name: "core", New: func(seed uint64) Decider {
		return decision.New(decision.Options{Seed: seed})
	}}
}

// Policies returns the core and all baselines, the core first.
func Policies() []Policy {
	return []Policy{Core(), RoundRobin(), LeastReported(), PowerOfTwo(), PrefixHash()}
}
