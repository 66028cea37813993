package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/schedcore"
)

// replayCase is a stored trace and the bounds that its replay must keep.
type replayCase struct {
	// Recorded is the command that recorded the trace.
	Recorded string `json:"recorded"`
	Trace    string `json:"trace"`
	Engines  int    `json:"engines"`
	// Slow makes every third engine run at half speed.
	Slow     bool            `json:"slow"`
	Classes  []replayClass   `json:"classes"`
	Outcomes []replayOutcome `json:"outcomes"`
	// Wasted is the greatest allowed share of wasted tokens. Zero means no
	// bound.
	Wasted float64 `json:"wasted"`
	// Overload says that the trace overloads the engines, so that at least one
	// request must end without a whole answer.
	Overload bool `json:"overload"`
}

type replayClass struct {
	Name          string       `json:"name"`
	Tier          int          `json:"tier"`
	FirstToken    api.Duration `json:"firstToken"`
	BetweenTokens api.Duration `json:"betweenTokens"`
	WholeAnswer   api.Duration `json:"wholeAnswer"`
	Floor         float64      `json:"floor"`
	MaxWait       api.Duration `json:"maxWait"`
}

// replayOutcome holds the bounds of one class.
type replayOutcome struct {
	Class string `json:"class"`
	// Attainment is the least allowed share of requests that meet all targets.
	Attainment float64 `json:"attainment"`
	// Refused is the greatest allowed number of requests that don't complete,
	// whether they are refused or end otherwise.
	Refused int `json:"refused"`
}

// TestReplayOfStoredTraces replays the trace of each case in testdata, and checks
// the guarantees and the bounds of the case.
func TestReplayOfStoredTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no test cases in testdata")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			var c replayCase
			readReplayCase(t, file, &c)
			checkReplay(t, c)
		})
	}
}

func readReplayCase(t *testing.T, file string, into *replayCase) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		t.Fatal(err)
	}
}

func readTraceFile(t *testing.T, name string) []loadgen.TraceRecord {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	trace, err := loadgen.ReadTrace(f)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

func (c replayCase) workload() Workload {
	w := Workload{
		Name: c.Trace, Engines: engines(c.Engines, c.Slow),
		Duration: time.Minute, DrainTimeout: 10 * time.Minute,
	}
	for _, class := range c.Classes {
		w.Classes = append(w.Classes, ClassLoad{Idempotent: true, Class: schedcore.Class{
			Name: class.Name, Tier: class.Tier, FirstToken: class.FirstToken.Std(),
			BetweenTokens: class.BetweenTokens.Std(), WholeAnswer: class.WholeAnswer.Std(),
			Floor: class.Floor, MaxWait: class.MaxWait.Std(),
		}})
	}
	return w
}

func checkReplay(t *testing.T, c replayCase) {
	trace := readTraceFile(t, c.Trace)
	r, err := Replay(c.workload(), trace, Core(), testSeed)
	if err != nil {
		t.Fatal(err)
	}
	if r.Inversions > 0 || len(r.Violations) > 0 {
		t.Errorf("%d inversions, violations %v, want none", r.Inversions, r.Violations)
	}
	if c.Wasted > 0 && r.Wasted > c.Wasted {
		t.Errorf("wasted %v, want at most %v", r.Wasted, c.Wasted)
	}
	if c.Overload && !anyNotCompleted(r) {
		t.Error("every request completed, want some that don't complete under overload")
	}
	checkOutcomes(t, c, r, modelCalls(trace))
}

// modelCalls counts the calls to models in a trace. A replay simulates only
// these, not the calls to plain services.
func modelCalls(trace []loadgen.TraceRecord) int {
	calls := 0
	for _, record := range trace {
		if !record.Service {
			calls++
		}
	}
	return calls
}

// anyNotCompleted reports whether a request ended without a whole answer.
func anyNotCompleted(r Result) bool {
	for _, c := range r.Classes {
		if len(c.Refusals) > 0 {
			return true
		}
	}
	return false
}

func checkOutcomes(t *testing.T, c replayCase, r Result, arrivals int) {
	t.Helper()
	classes := make(map[string]ClassResult)
	simulated := 0
	for _, class := range r.Classes {
		classes[class.Class] = class
		simulated += class.Requests + class.CallersLeft
	}
	if simulated != arrivals {
		t.Errorf("%d requests simulated, want the %d of the trace", simulated, arrivals)
	}
	for _, want := range c.Outcomes {
		got := classes[want.Class]
		if got.Attainment < want.Attainment {
			t.Errorf("%s: attainment %v, want at least %v", want.Class, got.Attainment, want.Attainment)
		}
		if notCompleted := got.Requests - got.Completed; notCompleted > want.Refused {
			t.Errorf("%s: %d not completed (%v), want at most %d", want.Class, notCompleted, got.Refusals, want.Refused)
		}
	}
}
