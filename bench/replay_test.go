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

// replayCase states what a trace's replay must come to.
type replayCase struct {
	// Recorded is the command that recorded the trace.
	Recorded string `json:"recorded"`
	Trace    string `json:"trace"`
	Engines  int    `json:"engines"`
	// Slow runs every third engine at half speed.
	Slow     bool            `json:"slow"`
	Classes  []replayClass   `json:"classes"`
	Outcomes []replayOutcome `json:"outcomes"`
	// Wasted is the greatest share of wasted tokens. Zero means no bound.
	Wasted float64 `json:"wasted"`
	// Overload says that some requests must be refused for load.
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

type replayOutcome struct {
	Class string `json:"class"`
	// Attainment is the least share of requests within all targets.
	Attainment float64 `json:"attainment"`
	// Refused is the greatest number of requests that aren't completed.
	Refused int `json:"refused"`
}

func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no cases in testdata")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			var c replayCase
			readCase(t, file, &c)
			replay(t, c)
		})
	}
}

func readCase(t *testing.T, file string, into *replayCase) {
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
		Duration: time.Minute, Drain: 10 * time.Minute,
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

func replay(t *testing.T, c replayCase) {
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
	if c.Overload && !shed(r) {
		t.Error("no request was refused, want overload")
	}
	checkOutcomes(t, c, r, modelCalls(trace))
}

// modelCalls counts the requests that a replay plays.
func modelCalls(trace []loadgen.TraceRecord) int {
	calls := 0
	for _, record := range trace {
		if !record.Service {
			calls++
		}
	}
	return calls
}

func shed(r Result) bool {
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
	answered := 0
	for _, class := range r.Classes {
		classes[class.Class] = class
		answered += class.Requests + class.Left
	}
	if answered != arrivals {
		t.Errorf("%d requests played, the trace has %d", answered, arrivals)
	}
	for _, want := range c.Outcomes {
		got := classes[want.Class]
		if got.Attainment < want.Attainment {
			t.Errorf("%s: attainment %v, want at least %v", want.Class, got.Attainment, want.Attainment)
		}
		if refused := got.Requests - got.Completed; refused > want.Refused {
			t.Errorf("%s: %d not completed (%v), want at most %d", want.Class, refused, got.Refusals, want.Refused)
		}
	}
}
