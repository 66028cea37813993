package bench

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testSeed = 1

// TestPrint prints the tables of the workloads that BENCH names, run with the
// seed BENCH_SEED, and writes them as JSON to the file BENCH_JSON.
func TestPrint(t *testing.T) {
	names := os.Getenv("BENCH")
	if names == "" {
		t.Skip("set BENCH to a comma-separated list of workloads, or to all")
	}
	var chosen []Workload
	for _, w := range Workloads() {
		if names == "all" || strings.Contains(names, w.Name) {
			chosen = append(chosen, w)
		}
	}
	suite := RunSuite(chosen, printSeed(t))
	if err := suite.WriteText(os.Stdout); err != nil {
		t.Fatal(err)
	}
	if name := os.Getenv("BENCH_JSON"); name != "" {
		saveSuite(t, suite, name)
	}
}

func saveSuite(t *testing.T, s Suite, name string) {
	t.Helper()
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.WriteJSON(f); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

func printSeed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("BENCH_SEED")
	if text == "" {
		return testSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

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
	for _, p := range []Policy{RoundRobin(), LeastReported(), PowerOfTwo()} {
		r := Run(Faults(), p, testSeed)
		if len(r.Violations) > 0 {
			t.Errorf("%s: %v", p.Name, r.Violations)
		}
	}
}
