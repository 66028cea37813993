package bench

import "testing"

func TestJudge(t *testing.T) {
	w := Workload{
		Name:    "w",
		Classes: []ClassLoad{provenance(), review()},
		Targets: Targets{
			Urgent: minUrgent, Goodput: minGoodput, Wasted: maxWasted, EveryClassServed: true,
		},
	}
	good := Result{
		Goodput: 0.96, Wasted: 0.005, Returned: 10, ReturnedAdmitted: 8,
		Classes: []ClassResult{
			{Class: "provenance", Attainment: 0.99, Met: 1},
			{Class: "review", Tier: 2, Met: 1, LongestWait: review().MaxWait},
		},
	}
	for _, v := range CheckTargets(w, good, []Result{{Policy: "b", Goodput: 0.9}}) {
		if !v.Met {
			t.Error(v)
		}
	}
	bad := Result{
		Goodput: 0.94, Wasted: 0.02, Returned: 10, ReturnedAdmitted: 7,
		Inversions: 1, RefusalTicks: 2, RefusedPastDeadline: 1,
		Violations: []Count{{Name: "v", Count: 1}},
		Classes: []ClassResult{
			{Class: "provenance", Attainment: 0.98},
			{Class: "review", Tier: 2, LongestWait: review().MaxWait + 2*waitSlack},
		},
	}
	met := 0
	verdicts := CheckTargets(w, bad, []Result{{Policy: "b", Goodput: 0.95}})
	for _, v := range verdicts {
		if v.Met {
			met++
			t.Log(v)
		}
	}
	// Only the longest wait of provenance, which is zero, is within its bound.
	if met != 1 {
		t.Errorf("%d of %d targets met, want 1", met, len(verdicts))
	}
}
