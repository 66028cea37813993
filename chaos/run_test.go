package chaos

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// Defaults of the environment variables CHAOS_SEEDS and CHAOS_STEPS.
const (
	defaultSeed      = 1
	defaultStepCount = 4
)

// seedsFromEnv returns the seeds in the variable CHAOS_SEEDS: a single seed or
// a range such as 1-20.
func seedsFromEnv(t *testing.T) []uint64 {
	value := os.Getenv("CHAOS_SEEDS")
	if value == "" {
		return []uint64{defaultSeed}
	}
	first, last, isRange := strings.Cut(value, "-")
	if !isRange {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	var out []uint64
	for seed := from; seed <= to; seed++ {
		out = append(out, seed)
	}
	return out
}

func stepsFromEnv(t *testing.T) int {
	value := os.Getenv("CHAOS_STEPS")
	if value == "" {
		return defaultStepCount
	}
	count, err := strconv.Atoi(value)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// faultsFromEnv returns the fault names in the variable CHAOS_FAULTS, which are
// separated by commas.
func faultsFromEnv() []string {
	if value := os.Getenv("CHAOS_FAULTS"); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// TestRandomFaults runs the system under random faults and fails if a guarantee
// is violated. The environment variables CHAOS_SEEDS=1-20, CHAOS_STEPS=n and
// CHAOS_FAULTS=a,b change the run.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seedsFromEnv(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			opts := Options{Seed: seed, Steps: stepsFromEnv(t), Faults: faultsFromEnv()}
			opts.OnStep = func(s Step) { t.Log(s) }
			report, err := Run(t.Context(), opts)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if report.FailureCount() > 0 {
				t.Errorf("seed %d: %d violations of guarantees with %d instances, want none", seed, report.FailureCount(), report.Instances)
			}
		})
	}
}
