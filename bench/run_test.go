package bench

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testSeed = 1

func TestSuiteWritesJSON(t *testing.T) {
	s := RunSuite([]Workload{shortened(CovorAuctionWorkload(), 5*time.Second)}, testSeed)
	var text strings.Builder
	if err := s.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var decoded Suite
	if err := json.Unmarshal([]byte(text.String()), &decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, decoded); diff != "" {
		t.Error(diff)
	}
}

// shortened returns the workload with arrivals only up to the given duration.
func shortened(w Workload, duration time.Duration) Workload {
	w.Duration = min(w.Duration, duration)
	return w
}

func TestRunIsDeterministic(t *testing.T) {
	w := FaultsWorkload()
	for _, p := range Policies() {
		first := Run(w, p, testSeed)
		second := Run(w, p, testSeed)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: two runs with the same seed differ:\n%s", p.Name, diff)
		}
	}
}

func TestSeedsGiveDifferentResults(t *testing.T) {
	w := shortened(CovorAuctionWorkload(), 20*time.Second)
	first := Run(w, RoundRobin(), 1)
	second := Run(w, RoundRobin(), 2)
	second.Seed = first.Seed
	if cmp.Equal(first, second) {
		t.Error("runs with seeds 1 and 2 gave the same result, want different ones")
	}
}

// TestNoPolicyBeatsTheBestPossible checks that no run has more goodput than the
// bound that bestTokens computes.
func TestNoPolicyBeatsTheBestPossible(t *testing.T) {
	for _, w := range Workloads() {
		w = shortened(w, 75*time.Second)
		for _, p := range Policies() {
			r := Run(w, p, testSeed)
			if r.Goodput > 1 {
				t.Errorf("%s %s: goodput is %v of the best possible, want at most 1", w.Name, p.Name, r.Goodput)
			}
		}
	}
}

// TestBaselinesKeepGuarantees checks that the simulation itself doesn't cause
// the violations that it counts: runs of the baselines must have no violations.
func TestBaselinesKeepGuarantees(t *testing.T) {
	for _, p := range []Policy{RoundRobin(), LeastReported(), PowerOfTwo(), PrefixHash()} {
		r := Run(FaultsWorkload(), p, testSeed)
		if len(r.Violations) > 0 {
			t.Errorf("%s: violations %v, want none", p.Name, r.Violations)
		}
	}
}

// TestEventQueueOrder checks that events leave the queue in order of time, and of
// insertion at equal times.
func TestEventQueueOrder(t *testing.T) {
	var q eventQueue
	rng := rand.New(rand.NewPCG(testSeed, 0))
	for i := range 1000 {
		q.push(event{at: time.Duration(rng.IntN(50)), request: int32(i)})
		if i%3 == 0 {
			q.pop()
		}
	}
	var last event
	for len(q.heap) > 0 {
		e := q.pop()
		if e.at < last.at || e.at == last.at && e.request < last.request {
			t.Fatalf("event %d at time %d left the queue after event %d at time %d, want order of time, then of insertion", e.request, e.at, last.request, last.at)
		}
		last = e
	}
}
