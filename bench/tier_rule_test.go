package bench

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// withoutTiers is the core with the rule taken out: it sees one tier only.
type withoutTiers struct{ core Scheduler }

func (p withoutTiers) Tick(now time.Duration, in *schedcore.Input, out *schedcore.Output) {
	if in.Config != nil {
		for i := range in.Config.Classes {
			in.Config.Classes[i].Tier = 0
		}
	}
	p.core.Tick(now, in, out)
}

// TestInversionCheckFailsWithoutTheRule shows that the check sees what it is
// for: the same overload has no inversion with the rule, and some without it.
func TestInversionCheckFailsWithoutTheRule(t *testing.T) {
	w := short(TopOverload(), 60*time.Second)
	with := Run(w, Core(), testSeed)
	if with.Inversions != 0 {
		t.Errorf("the core made %d inversions", with.Inversions)
	}
	flat := Policy{Name: "without-tiers", New: func(seed uint64) Scheduler {
		return withoutTiers{core: Core().New(seed)}
	}}
	without := Run(w, flat, testSeed)
	if without.Inversions == 0 {
		t.Error("without tiers the check counted no inversion")
	}
	t.Logf("inversions: %d with the rule, %d without", with.Inversions, without.Inversions)
}
