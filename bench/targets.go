package bench

import (
	"fmt"
)

// Bounds of the targets, as shares unless the name says otherwise. Urgent
// classes are the classes of tier 0.
const (
	minUrgentAttainment = 0.99
	minUrgentOfAdmitted = 0.95
	minGoodput          = 0.95
	maxWasted           = 0.01
	maxWastedWithFaults = 0.03
	minReturnedAdmitted = 0.80
	maxRefusalTicks     = 1
	// waitSlack is how much longer than MaxWait a wait may last in a run,
	// because of the tick interval and the network delay.
	waitSlack = tickInterval + 2*networkDelay
)

// Targets are the bounds of a workload's figures. Zero means no bound.
type Targets struct {
	// MinUrgentAttainment is the least allowed attainment of each class of tier
	// 0, as a share of all its requests.
	MinUrgentAttainment float64
	// MinUrgentOfAdmitted is the least allowed attainment of each class of tier
	// 0, as a share of its admitted requests.
	MinUrgentOfAdmitted float64
	// MinGoodput is the least allowed goodput of a run, and MaxWasted the
	// greatest allowed share of wasted tokens.
	MinGoodput float64
	MaxWasted  float64
	// EveryClassServed requires that every class has an answer within its
	// targets, and that no request waits longer than its class's MaxWait.
	EveryClassServed bool
}

// TargetResult is the figure of one target and its bound.
type TargetResult struct {
	Workload string  `json:"workload"`
	Target   string  `json:"target"`
	Value    float64 `json:"got"`
	// Bound is the least allowed value if AtLeast is set, else the greatest.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"atLeast"`
	Met     bool    `json:"met"`
}

// String describes the target, the figure and the bound on one line.
func (r TargetResult) String() string {
	relation, status := "at most", "met"
	if r.AtLeast {
		relation = "at least"
	}
	if !r.Met {
		status = "not met"
	}
	return fmt.Sprintf("%s: %s: %.4f, %s %.4f: %s", r.Workload, r.Target, r.Value, relation, r.Bound, status)
}

// CheckTargets checks a run against the workload's targets and against the
// guarantees. The baselines are runs of the same workload and seed; the goodput
// of r must exceed the goodput of each baseline.
func CheckTargets(w Workload, r Result, baselines []Result) []TargetResult {
	tc := targetChecker{workload: w.Name}
	tc.checkUrgent(w.Targets, r)
	tc.checkEfficiency(w.Targets, r, baselines)
	if w.Targets.EveryClassServed {
		tc.checkEveryClass(w, r)
	}
	tc.checkGuarantees(r)
	return tc.results
}

// targetChecker collects the results of CheckTargets.
type targetChecker struct {
	workload string
	results  []TargetResult
}

func (tc *targetChecker) atLeast(target string, got, bound float64) {
	tc.add(TargetResult{Target: target, Value: got, Bound: bound, AtLeast: true, Met: got >= bound})
}

func (tc *targetChecker) atMost(target string, got, bound float64) {
	tc.add(TargetResult{Target: target, Value: got, Bound: bound, Met: got <= bound})
}

func (tc *targetChecker) add(result TargetResult) {
	result.Workload = tc.workload
	tc.results = append(tc.results, result)
}

func (tc *targetChecker) checkUrgent(t Targets, r Result) {
	for _, c := range r.Classes {
		if c.Tier != 0 {
			continue
		}
		if t.MinUrgentAttainment > 0 {
			tc.atLeast("attainment of "+c.Class, c.Attainment, t.MinUrgentAttainment)
		}
		if t.MinUrgentOfAdmitted > 0 {
			tc.atLeast("attainment of admitted "+c.Class, c.AttainmentOfAdmitted, t.MinUrgentOfAdmitted)
		}
	}
}

// checkEfficiency checks goodput and wasted tokens.
func (tc *targetChecker) checkEfficiency(t Targets, r Result, baselines []Result) {
	if t.MinGoodput > 0 {
		tc.atLeast("goodput", r.Goodput, t.MinGoodput)
	}
	for _, b := range baselines {
		tc.add(TargetResult{
			Target: "goodput above " + b.Policy, Value: r.Goodput, Bound: b.Goodput,
			AtLeast: true, Met: r.Goodput > b.Goodput,
		})
	}
	if t.MaxWasted > 0 {
		tc.atMost("wasted", r.Wasted, t.MaxWasted)
	}
}

func (tc *targetChecker) checkEveryClass(w Workload, r Result) {
	for i, c := range r.Classes {
		tc.atLeast("in time of "+c.Class, float64(c.Met), 1)
		bound := w.Classes[i].MaxWait
		if bound > 0 {
			tc.atMost("longest wait of "+c.Class, c.LongestWait.Seconds(), (bound + waitSlack).Seconds())
		}
	}
}

func (tc *targetChecker) checkGuarantees(r Result) {
	tc.atMost("inversions", float64(r.Inversions), 0)
	tc.atMost("ticks to a refusal", float64(r.MaxRefusalDelayTicks), maxRefusalTicks)
	tc.atMost("refusals past a deadline", float64(r.RefusedPastDeadline), 0)
	if r.Returned > 0 {
		tc.atLeast("admitted of returned", ratio(r.ReturnedAdmitted, r.Returned), minReturnedAdmitted)
	}
	for _, v := range r.Violations {
		tc.atMost("violations "+v.Name, float64(v.Count), 0)
	}
}
