package bench

import (
	"encoding/json"
	"os"
	"testing"
)

// TestRegressions checks that each figure of the core that got worse is reported,
// and neither a figure of a baseline nor a run that only one suite has.
func TestRegressions(t *testing.T) {
	before := Suite{Results: []Result{
		{Workload: "w", Policy: "core", Goodput: 1, Classes: []ClassResult{{Class: "c", AttainmentOfAdmitted: 1}}},
		{Workload: "w", Policy: "round-robin", Goodput: 1},
		{Workload: "other", Policy: "core", Goodput: 1},
	}}
	worse := Suite{Results: []Result{
		{
			Workload: "w", Policy: "core", Goodput: 0.9, Wasted: 0.1, Inversions: 1,
			Violations: []Count{{Name: "v", Count: 1}},
			Classes:    []ClassResult{{Class: "c", AttainmentOfAdmitted: 0.9}},
		},
		{Workload: "w", Policy: "round-robin", Goodput: 0.1},
	}}
	if got := FindRegressions(before, before); len(got) != 0 {
		t.Errorf("a suite compared with itself has regressions %v, want none", got)
	}
	if got := FindRegressions(before, worse); len(got) != 5 {
		t.Errorf("%d regressions, want 5; got %v", len(got), got)
	}
}

// TestNoRegressionAgainstEarlierSuite compares this commit with the suite in
// the file that BENCH_BEFORE names, as written by `bergamotpin bench --json` at
// another commit.
func TestNoRegressionAgainstEarlierSuite(t *testing.T) {
	name := os.Getenv("BENCH_BEFORE")
	if name == "" {
		t.Skip("set BENCH_BEFORE to the JSON file of a suite")
	}
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var before Suite
	if err := json.NewDecoder(f).Decode(&before); err != nil {
		t.Fatal(err)
	}
	if len(before.Results) == 0 {
		t.Fatal("the file that BENCH_BEFORE names holds no results")
	}
	for _, r := range FindRegressions(before, RunSuite(Workloads(), before.Results[0].Seed)) {
		t.Error(r)
	}
}
