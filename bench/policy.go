package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// Scheduler decides as schedcore.Core does: events in, typed actions out.
type Scheduler interface {
	Tick(now time.Duration, in *schedcore.Input, out *schedcore.Output)
}

// Policy makes the deciders of a run.
type Policy struct {
	Name string
	// New returns a decider without servers. It is called again when the
	// scheduler is lost.
	New func(seed uint64) Scheduler
}

// Core is the policy that the daemon runs.
func Core() Policy {
	return Policy{Name: "core", New: func(seed uint64) Scheduler {
		return schedcore.New(schedcore.Options{Seed: seed})
	}}
}

// Policies returns the core and all baselines, the core first.
func Policies() []Policy {
	return []Policy{Core(), RoundRobin(), LeastReported(), PowerOfTwo(), PrefixHash()}
}
