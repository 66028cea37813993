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
	s := RunSuite([]Workload{short(CovorAuction(), 5*time.Second)}, testSeed)
	var text strings.Builder
	if err := s.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var back Suite
	if err := json.Unmarshal([]byte(text.String()), &back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, back); diff != "" {
		t.Error(diff)
	}
}

// short cuts a workload's arrivals and its faults at the given time.
func short(w Workload, duration time.Duration) Workload {
	w.Duration = min(w.Duration, duration)
	return w
}

func TestRunIsDeterministic(t *testing.T) {
	w := Faults()
	for _, p := range Policies() {
		first := Run(w, p, testSeed)
		second := Run(w, p, testSeed)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: same seed, other result:\n%s", p.Name, diff)
		}
	}
}

func TestSeedsDiffer(t *testing.T) {
	w := short(CovorAuction(), 20*time.Second)
	first := Run(w, RoundRobin(), 1)
	second := Run(w, RoundRobin(), 2)
	second.Seed = first.Seed
	if cmp.Equal(first, second) {
		t.Error("two seeds gave the same result")
	}
}

// TestNoPolicyBeatsTheBestPossible checks the bound against the driver.
func TestNoPolicyBeatsTheBestPossible(t *testing.T) {
	for _, w := range Workloads() {
		w = short(w, 75*time.Second)
		for _, p := range Policies() {
			r := Run(w, p, testSeed)
			if r.Goodput > 1 {
				t.Errorf("%s %s: goodput %v of the best possible", w.Name, p.Name, r.Goodput)
			}
		}
	}
}

// TestBaselinesKeepPromises checks that what the driver counts as a broken
// promise isn't made by the driver itself.
func TestBaselinesKeepPromises(t *testing.T) {
	for _, p := range []Policy{RoundRobin(), LeastReported(), PowerOfTwo(), PrefixHash()} {
		r := Run(Faults(), p, testSeed)
		if len(r.Violations) > 0 {
			t.Errorf("%s: %v", p.Name, r.Violations)
		}
	}
}

func TestAgendaOrder(t *testing.T) {
	var a agenda
	rng := rand.New(rand.NewPCG(testSeed, 0))
	for i := range 1000 {
		a.push(event{at: time.Duration(rng.IntN(50)), request: int32(i)})
		if i%3 == 0 {
			a.pop()
		}
	}
	var last event
	for len(a.heap) > 0 {
		e := a.pop()
		if e.at < last.at || e.at == last.at && e.request < last.request {
			t.Fatalf("event %d at %d came after event %d at %d", e.request, e.at, last.request, last.at)
		}
		last = e
	}
}
