package bench

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// withoutTiers is a core that sees all classes in one tier, and so can't prefer
// the classes of higher tiers.
type withoutTiers struct{ core Scheduler }

func (p withoutTiers) Tick(now time.Duration, in *schedcore.Input, out *schedcore.Output) {
	if in.Config != nil {
		for i := range in.Config.Classes {
			in.Config.Classes[i].Tier = 0
		}
	}
	p.core.Tick(now, in, out)
}

// TestInversionCheckCountsWithoutTiers checks that the auditor detects priority
// inversions. In the same overload it must count no inversion for the core, and
// at least one for a core that ignores tiers.
func TestInversionCheckCountsWithoutTiers(t *testing.T) {
	w := shortened(TopTierOverloadWorkload(), 60*time.Second)
	tiered := Run(w, Core(), testSeed)
	if tiered.Inversions != 0 {
		t.Errorf("the core made %d inversions, want none", tiered.Inversions)
	}
	noTiers := Policy{Name: "without-tiers", New: func(seed uint64) Scheduler {
		return withoutTiers{core: Core().New(seed)}
	}}
	untiered := Run(w, noTiers, testSeed)
	if untiered.Inversions == 0 {
		t.Error("no inversion counted for a core without tiers, want some")
	}
	t.Logf("inversions: %d with tiers, %d without", tiered.Inversions, untiered.Inversions)
}
