package bench

import "testing"

// TestCheckTargets checks that a good result meets all targets. A bad result
// must miss all targets except one: the longest wait of its provenance class is
// left at zero.
func TestCheckTargets(t *testing.T) {
	w := Workload{
		Name:    "w",
		Classes: []ClassLoad{provenanceClass(), reviewClass()},
		Targets: Targets{
			MinUrgentAttainment: minUrgentAttainment, MinGoodput: minGoodput, MaxWasted: maxWasted, EveryClassServed: true,
		},
	}
	good := Result{
		Goodput: 0.96, Wasted: 0.005, Returned: 10, ReturnedAdmitted: 8,
		Classes: []ClassResult{
			{Class: "provenance", Attainment: 0.99, Met: 1},
			{Class: "review", Tier: 2, Met: 1, LongestWait: reviewClass().MaxWait},
		},
	}
	for _, result := range CheckTargets(w, good, []Result{{Policy: "b", Goodput: 0.9}}) {
		if !result.Met {
			t.Error(result)
		}
	}
	bad := Result{
		Goodput: 0.94, Wasted: 0.02, Returned: 10, ReturnedAdmitted: 7,
		Inversions: 1, MaxRefusalDelayTicks: 2, RefusedPastDeadline: 1,
		Violations: []Count{{Name: "v", Count: 1}},
		Classes: []ClassResult{
			{Class: "provenance", Attainment: 0.98},
			{Class: "review", Tier: 2, LongestWait: reviewClass().MaxWait + 2*waitSlack},
		},
	}
	met := 0
	results := CheckTargets(w, bad, []Result{{Policy: "b", Goodput: 0.95}})
	for _, result := range results {
		if result.Met {
			met++
			t.Log(result)
		}
	}
	// The bad result meets only the target for the longest wait of the
	// provenance class.
	if met != 1 {
		t.Errorf("%d of %d targets met, want 1", met, len(results))
	}
}
