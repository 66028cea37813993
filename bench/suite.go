package bench

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// Suite holds the runs of several workloads with one seed, and how the core's
// runs stand against the targets.
type Suite struct {
	Results       []Result       `json:"results"`
	TargetResults []TargetResult `json:"verdicts"`
}

// RunSuite plays each workload through the core and all baselines.
func RunSuite(workloads []Workload, seed uint64) Suite {
	var s Suite
	for _, w := range workloads {
		runs := make([]Result, 0, len(Policies()))
		for _, p := range Policies() {
			runs = append(runs, Run(w, p, seed))
		}
		s.Results = append(s.Results, runs...)
		s.TargetResults = append(s.TargetResults, CheckTargets(w, runs[0], runs[1:])...)
	}
	return s
}

// MissedTargets returns the verdicts of the targets that are not met.
func (s Suite) MissedTargets() []TargetResult {
	var out []TargetResult
	for _, v := range s.TargetResults {
		if !v.Met {
			out = append(out, v)
		}
	}
	return out
}

// WriteJSON writes the suite as one JSON object.
func (s Suite) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(s); err != nil {
		return errors.Wrap(err, "encode suite")
	}
	return nil
}

// WriteText writes tables of the runs and of their classes, and one line for
// each target.
func (s Suite) WriteText(w io.Writer) error {
	if err := WriteText(w, s.Results); err != nil {
		return err
	}
	for _, v := range s.TargetResults {
		if _, err := fmt.Fprintln(w, v); err != nil {
			return errors.Wrap(err, "write verdicts")
		}
	}
	return nil
}
