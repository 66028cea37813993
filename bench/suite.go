package bench

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// Suite holds the runs of several workloads with one seed, and the results of
// checking the core's runs against their targets.
type Suite struct {
	Results       []Result       `json:"results"`
	TargetResults []TargetResult `json:"verdicts"`
}

// RunSuite simulates each workload with the core and all baselines.
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

// MissedTargets returns the results of the targets that are not met.
func (s Suite) MissedTargets() []TargetResult {
	var out []TargetResult
	for _, result := range s.TargetResults {
		if !result.Met {
			out = append(out, result)
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

// WriteText writes tables of the runs and of their classes, followed by one
// line for each target.
func (s Suite) WriteText(w io.Writer) error {
	if err := WriteText(w, s.Results); err != nil {
		return err
	}
	for _, result := range s.TargetResults {
		if _, err := fmt.Fprintln(w, result); err != nil {
			return errors.Wrap(err, "write target results")
		}
	}
	return nil
}
