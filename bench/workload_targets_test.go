package bench

import (
	"fmt"
	"testing"
)

var targetSeeds = []uint64{1, 2}

// TestTargets holds the core against the targets of each workload.
func TestTargets(t *testing.T) {
	for _, w := range Workloads() {
		for _, seed := range targetSeeds {
			t.Run(fmt.Sprintf("%s/seed=%d", w.Name, seed), func(t *testing.T) {
				for _, v := range RunSuite([]Workload{w}, seed).TargetResults {
					t.Run(v.Target, func(t *testing.T) {
						if !v.Met {
							t.Error(v)
						}
					})
				}
			})
		}
	}
}

// TestWasteInThePeaks holds the seeds of the daily peaks at which preemption
// threw away more than the users allow before it was bounded.
func TestWasteInThePeaks(t *testing.T) {
	for _, w := range Workloads() {
		if w.Name != "andina-peaks" {
			continue
		}
		for seed := range uint64(8) {
			for _, v := range RunSuite([]Workload{w}, seed+1).TargetResults {
				if !v.Met {
					t.Errorf("seed %d: %v", seed+1, v)
				}
			}
		}
	}
}
