package bench

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotpin.example/bergamotpin/schedcore"
)

const randomRunDuration = 15 * time.Second

// randomClass draws a class with its load. Its targets may be impossible to
// meet, but its deadline leaves time for the longest answer on a full engine at
// half speed.
func randomClass(t *rapid.T, i int) ClassLoad {
	load := ClassLoad{
		Class: schedcore.Class{
			Name:       fmt.Sprintf("class-%d", i),
			Tier:       rapid.IntRange(0, 3).Draw(t, "tier"),
			FirstToken: randomTime(t, "first token", 0, 5000),
			MaxWait:    randomTime(t, "max wait", 0, 5000),
			Floor:      float64(rapid.IntRange(0, 20).Draw(t, "floor")) / 100,
		},
		Idempotent:    rapid.Bool().Draw(t, "idempotent"),
		Deadline:      randomTime(t, "deadline", 40000, 60000),
		PromptLengths: LengthDistribution{Median: 300, Sigma: 0.8, Max: 3000},
		AnswerLengths: LengthDistribution{Median: 40, Sigma: 1, Max: 400},
		LeaveShare:    float64(rapid.IntRange(0, 10).Draw(t, "leave")) / 100,
		LeaveAfter:    randomTime(t, "leave after", 100, 3000),
		Prefixes:      rapid.IntRange(0, 5).Draw(t, "prefixes"),
	}
	if load.Prefixes > 0 {
		load.PrefixTokens = 150
	}
	load.Rates = []Rate{
		{From: 0, PerSecond: float64(rapid.IntRange(0, 40).Draw(t, "rate"))},
		{From: 5 * time.Second, PerSecond: float64(rapid.IntRange(0, 120).Draw(t, "later rate"))},
	}
	return load
}

func randomTime(t *rapid.T, name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
}

func randomFault(t *rapid.T, engines int) Fault {
	return Fault{
		Kind:     FaultKind(rapid.IntRange(int(EngineCrash), int(SchedulerLoss)).Draw(t, "kind")),
		At:       randomTime(t, "at", 0, 14000),
		Duration: randomTime(t, "for", 1, 4000),
		Engine:   rapid.IntRange(0, engines-1).Draw(t, "engine"),
	}
}

func randomWorkload(t *rapid.T) Workload {
	n := rapid.IntRange(1, 4).Draw(t, "engines")
	w := Workload{
		Name: "random", Duration: randomRunDuration, DrainTimeout: 2 * time.Minute,
		Engines:       engines(n, rapid.Bool().Draw(t, "slow")),
		Organisations: organisations(), ReturnShare: returnShare,
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		w.Classes = append(w.Classes, randomClass(t, i))
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		w.Faults = append(w.Faults, randomFault(t, n))
	}
	return w
}

// setRapidFlag sets one of rapid's flags for the rest of the test.
func setRapidFlag(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup("rapid." + name)
	previous := f.Value.String()
	if err := flag.Set(f.Name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(f.Name, previous) })
}

// TestGuaranteesInRandomWorkloads checks the guarantees in random workloads
// with random faults. The seed is fixed unless the command line sets one.
func TestGuaranteesInRandomWorkloads(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setRapidFlag(t, "seed", "1")
	}
	rapid.Check(t, checkGuarantees)
}

// TestGuaranteesWithSeedsThatFailed guards against two faults that random
// workloads found. With seed 56 the core used an outdated index into a queue
// after the tickets in the queue had moved. With seed 8 a request's allowed
// wait started again at a new scheduler.
func TestGuaranteesWithSeedsThatFailed(t *testing.T) {
	for _, seed := range []string{"56", "8"} {
		t.Run(seed, func(t *testing.T) {
			setRapidFlag(t, "seed", seed)
			setRapidFlag(t, "checks", "1")
			rapid.Check(t, checkGuarantees)
		})
	}
}

// checkGuarantees runs a random workload with the core and checks the guarantees.
func checkGuarantees(t *rapid.T) {
	w := randomWorkload(t)
	r := Run(w, Core(), rapid.Uint64().Draw(t, "seed"))
	if r.Inversions > 0 || len(r.Violations) > 0 {
		t.Errorf("%d inversions, violations %v, want none", r.Inversions, r.Violations)
	}
	if r.MaxRefusalDelayTicks > maxRefusalTicks || r.RefusedPastDeadline > 0 {
		t.Errorf("longest refusal delay %d ticks, want at most one; %d refusals past their deadline, want none", r.MaxRefusalDelayTicks, r.RefusedPastDeadline)
	}
}
