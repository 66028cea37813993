package bench

import (
	"fmt"
)

// The bounds of the targets.
const (
	minUrgent         = 0.99
	minUrgentAdmitted = 0.95
	minGoodput        = 0.95
	maxWasted         = 0.01
	maxWastedCrash    = 0.03
	minReturned       = 0.80
	maxRefusalTicks   = 1
	// waitSlack is what the grid of ticks and the network add to a wait that
	// the scheduler ends in time.
	waitSlack = tickEvery + 2*networkDelay
)

// Targets are a workload's bounds. Zero means that the figure has none.
type Targets struct {
	// Urgent is the least attainment of each class of tier 0, as a share of
	// all its requests.
	Urgent float64
	// UrgentAdmitted is the same as a share of the admitted ones.
	UrgentAdmitted float64
	Goodput        float64
	Wasted         float64
	// EveryClassServed asks for answers in time of every class, and for waits
	// within each class's MaxWait.
	EveryClassServed bool
}

// TargetResult is one target's figure against its bound.
type TargetResult struct {
	Workload string  `json:"workload"`
	Target   string  `json:"target"`
	Got      float64 `json:"got"`
	// Bound is the least value if AtLeast is set, else the greatest.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"atLeast"`
	Met     bool    `json:"met"`
}

// String says what was asked and what was seen.
func (v TargetResult) String() string {
	relation, word := "at most", "met"
	if v.AtLeast {
		relation = "at least"
	}
	if !v.Met {
		word = "not met"
	}
	return fmt.Sprintf("%s: %s: %.4f, %s %.4f: %s", v.Workload, v.Target, v.Got, relation, v.Bound, word)
}

// CheckTargets holds a run against the workload's targets. Baselines are runs of the
// same workload and seed that its goodput must exceed.
func CheckTargets(w Workload, r Result, baselines []Result) []TargetResult {
	j := judge{workload: w.Name}
	j.urgent(w.Targets, r)
	j.work(w.Targets, r, baselines)
	if w.Targets.EveryClassServed {
		j.served(w, r)
	}
	j.promises(r)
	return j.verdicts
}

type judge struct {
	workload string
	verdicts []TargetResult
}

func (j *judge) atLeast(target string, got, bound float64) {
	j.add(TargetResult{Target: target, Got: got, Bound: bound, AtLeast: true, Met: got >= bound})
}

func (j *judge) atMost(target string, got, bound float64) {
	j.add(TargetResult{Target: target, Got: got, Bound: bound, Met: got <= bound})
}

func (j *judge) add(v TargetResult) {
	v.Workload = j.workload
	j.verdicts = append(j.verdicts, v)
}

func (j *judge) urgent(t Targets, r Result) {
	for _, c := range r.Classes {
		if c.Tier != 0 {
			continue
		}
		if t.Urgent > 0 {
			j.atLeast("attainment of "+c.Class, c.Attainment, t.Urgent)
		}
		if t.UrgentAdmitted > 0 {
			j.atLeast("attainment of admitted "+c.Class, c.OfAdmitted, t.UrgentAdmitted)
		}
	}
}

func (j *judge) work(t Targets, r Result, baselines []Result) {
	if t.Goodput > 0 {
		j.atLeast("goodput", r.Goodput, t.Goodput)
	}
	for _, b := range baselines {
		j.add(TargetResult{
			Target: "goodput above " + b.Policy, Got: r.Goodput, Bound: b.Goodput,
			AtLeast: true, Met: r.Goodput > b.Goodput,
		})
	}
	if t.Wasted > 0 {
		j.atMost("wasted", r.Wasted, t.Wasted)
	}
}

func (j *judge) served(w Workload, r Result) {
	for i, c := range r.Classes {
		j.atLeast("in time of "+c.Class, float64(c.Met), 1)
		bound := w.Classes[i].MaxWait
		if bound > 0 {
			j.atMost("longest wait of "+c.Class, c.LongestWait.Seconds(), (bound + waitSlack).Seconds())
		}
	}
}

func (j *judge) promises(r Result) {
	j.atMost("inversions", float64(r.Inversions), 0)
	j.atMost("ticks to a refusal", float64(r.RefusalTicks), maxRefusalTicks)
	j.atMost("refusals past a deadline", float64(r.RefusedPastDeadline), 0)
	if r.Returned > 0 {
		j.atLeast("admitted of returned", ratio(r.ReturnedAdmitted, r.Returned), minReturned)
	}
	for _, v := range r.Violations {
		j.atMost("violations "+v.Name, float64(v.Count), 0)
	}
}
