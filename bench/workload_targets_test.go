package bench

import (
	"fmt"
	"testing"
)

var targetSeeds = []uint64{1, 2}

// TestTargets checks the core against all targets of each workload.
func TestTargets(t *testing.T) {
	for _, w := range Workloads() {
		for _, seed := range targetSeeds {
			t.Run(fmt.Sprintf("%s/seed=%d", w.Name, seed), func(t *testing.T) {
				for _, result := range RunSuite([]Workload{w}, seed).TargetResults {
					t.Run(result.Target, func(t *testing.T) {
						if !result.Met {
							t.Error(result)
						}
					})
				}
			})
		}
	}
}

// TestTargetsInAndinaPeaks checks AndinaPeaksWorkload with more seeds than
// TestTargets. It guards against preemption without a bound, which wasted more
// tokens than the target allows with some of these seeds.
func TestTargetsInAndinaPeaks(t *testing.T) {
	for _, w := range Workloads() {
		if w.Name != "andina-peaks" {
			continue
		}
		for seed := range uint64(8) {
			for _, result := range RunSuite([]Workload{w}, seed+1).TargetResults {
				if !result.Met {
					t.Errorf("seed %d: %v", seed+1, result)
				}
			}
		}
	}
}
