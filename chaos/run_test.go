package chaos

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// fixedSeed is the run of the default test.
const (
	fixedSeed  = 1
	fixedSteps = 4
)

// seeds reads CHAOS_SEEDS, one seed or a range such as 1-20.
func seeds(t *testing.T) []uint64 {
	text := os.Getenv("CHAOS_SEEDS")
	if text == "" {
		return []uint64{fixedSeed}
	}
	first, last, ranges := strings.Cut(text, "-")
	if !ranges {
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

func steps(t *testing.T) int {
	text := os.Getenv("CHAOS_STEPS")
	if text == "" {
		return fixedSteps
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// faults reads CHAOS_FAULTS, names with commas between them.
func faults() []string {
	if text := os.Getenv("CHAOS_FAULTS"); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// TestRandomFaults takes a system through random faults. CHAOS_SEEDS=1-20,
// CHAOS_STEPS=n and CHAOS_FAULTS=a,b change the run.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			opts := Options{Seed: seed, Steps: steps(t), Faults: faults()}
			opts.OnStep = func(s Step) { t.Log(s) }
			report, err := Run(t.Context(), opts)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if report.Failures() > 0 {
				t.Errorf("seed %d: %d promises broken over %d instances", seed, report.Failures(), report.Instances)
			}
		})
	}
}
