package bench

import (
	"testing"
	"time"
)

// combinedFaults returns faults of every kind that overlap or follow each other
// closely, the first at the given time.
func combinedFaults(at time.Duration) []Fault {
	return []Fault{
		{Kind: ReportOutage, At: at, Duration: 30 * time.Second},
		{Kind: EngineCrash, At: at + 2*time.Second, Duration: 10 * time.Second, Engine: 1},
		{Kind: SchedulerLoss, At: at + 2*time.Second - 50*time.Millisecond, Duration: 100 * time.Millisecond},
		{Kind: EngineCrash, At: at + 4*time.Second, Duration: 3 * time.Second, Engine: 2},
		{Kind: SchedulerLoss, At: at + 5*time.Second, Duration: 300 * time.Millisecond},
		{Kind: EngineCrash, At: at + 13*time.Second, Duration: 5 * time.Second, Engine: 1},
	}
}

// TestGuaranteesUnderCombinedFaults checks the guarantees of the core with
// combined faults at the time of each workload's highest load. The latency
// targets are not checked: they don't apply under such faults.
func TestGuaranteesUnderCombinedFaults(t *testing.T) {
	for _, w := range Workloads() {
		w = shortened(w, 100*time.Second)
		w.Faults = combinedFaults(62 * time.Second)
		for _, seed := range []uint64{1, 2} {
			r := Run(w, Core(), seed)
			if r.Inversions > 0 {
				t.Errorf("%s seed %d: %d inversions, want none", w.Name, seed, r.Inversions)
			}
			if len(r.Violations) > 0 {
				t.Errorf("%s seed %d: violations %v, want none", w.Name, seed, r.Violations)
			}
			if r.MaxRefusalDelayTicks > maxRefusalTicks || r.RefusedPastDeadline > 0 {
				t.Errorf("%s seed %d: longest refusal delay %d ticks, want at most one; %d refusals past their deadline, want none",
					w.Name, seed, r.MaxRefusalDelayTicks, r.RefusedPastDeadline)
			}
		}
	}
}
