package bench

import (
	"testing"
	"time"
)

// together puts every kind of fault, twice, into the time around at.
func together(at time.Duration) []Fault {
	return []Fault{
		{Kind: ReportsStop, At: at, For: 30 * time.Second},
		{Kind: EngineCrash, At: at + 2*time.Second, For: 10 * time.Second, Engine: 1},
		{Kind: SchedulerLost, At: at + 2*time.Second - 50*time.Millisecond, For: 100 * time.Millisecond},
		{Kind: EngineCrash, At: at + 4*time.Second, For: 3 * time.Second, Engine: 2},
		{Kind: SchedulerLost, At: at + 5*time.Second, For: 300 * time.Millisecond},
		{Kind: EngineCrash, At: at + 13*time.Second, For: 5 * time.Second, Engine: 1},
	}
}

// TestPromisesHoldWhenFaultsComeTogether puts faults into each workload where
// its load is highest. Targets of latency don't apply; promises do.
func TestPromisesHoldWhenFaultsComeTogether(t *testing.T) {
	for _, w := range Workloads() {
		w = short(w, 100*time.Second)
		w.Faults = together(62 * time.Second)
		for _, seed := range []uint64{1, 2} {
			r := Run(w, Core(), seed)
			if r.Inversions > 0 {
				t.Errorf("%s seed %d: %d inversions", w.Name, seed, r.Inversions)
			}
			if len(r.Violations) > 0 {
				t.Errorf("%s seed %d: violations %v", w.Name, seed, r.Violations)
			}
			if r.RefusalTicks > maxRefusalTicks || r.RefusedPastDeadline > 0 {
				t.Errorf("%s seed %d: a refusal %d ticks late, %d past their deadline",
					w.Name, seed, r.RefusalTicks, r.RefusedPastDeadline)
			}
		}
	}
}
