package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// Scheduler makes the decisions of a run. Tick has the contract of
// schedcore.Core.Tick: it applies the events of the input and writes its
// decisions to the output.
type Scheduler interface {
	Tick(now time.Duration, in *schedcore.Input, out *schedcore.Output)
}

// Policy is a named way to schedule. It creates the schedulers of a run.
type Policy struct {
	Name string
	// New returns a scheduler that knows no servers yet. New is called again
	// when a fault replaces the scheduler.
	New func(seed uint64) Scheduler
}

// Core is the policy that instances run in production: schedcore.Core.
func Core() Policy {
	return Policy{Name: "core", New: func(seed uint64) Scheduler {
		return schedcore.New(schedcore.Options{Seed: seed})
	}}
}

// Policies returns the core, followed by all baselines.
func Policies() []Policy {
	return []Policy{Core(), RoundRobin(), LeastReported(), PowerOfTwo(), PrefixHash()}
}
