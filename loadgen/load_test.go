package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/engine"
	"bergamotpin.example/bergamotpin/standin/pipenet"
	"bergamotpin.example/bergamotpin/standin/service"
)

const address = "10.0.0.1:80"

// backends are an engine and a service behind one callers' address.
type backends struct {
	engine  *engine.Server
	service *service.Server
}

// run runs the options in virtual time against one engine and one service.
// Front, if any, stands before them.
func run(t *testing.T, opts Options, front func(b backends, next http.Handler) http.Handler) (report Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := backends{engine.New(engine.Options{MaxBatch: 64}), service.New(service.Options{})}
		defer b.engine.Close()
		defer b.service.Close()
		mux := http.NewServeMux()
		mux.Handle(engineapi.PathCompletions, b.engine)
		mux.Handle("/v1/services/", b.service)
		var handler http.Handler = mux
		if front != nil {
			handler = front(b, mux)
		}
		var network pipenet.Network
		defer network.Serve(address, handler)()
		opts.Addresses = []string{address}
		opts.Transport = network.Transport()
		opts.RunCounts = RunCounts{KeyRuns: b.service.Runs, PromptRuns: b.engine.PromptRuns}
		var err error
		report, err = Run(t.Context(), opts)
		if err != nil {
			t.Fatal(err)
		}
	})
	return report
}

// small is a workload with one class to the engine and one to the service.
func small() Workload {
	w := AgendaAndina()
	draft, order := w.Classes[0], w.Classes[3]
	draft.LeaveShare, draft.UnaryShare, order.DuplicateShare = 0, 0.5, 0
	w.Classes = []Class{draft, order}
	return w
}

func TestHealthyRunHasNoViolation(t *testing.T) {
	got := run(t, Options{Workload: small(), Duration: 20 * time.Second, Seed: 1}, nil)
	if got.Requests < 50 || got.Completed != got.Requests || got.Violations != 0 {
		t.Errorf("report %+v", got)
	}
	for _, class := range got.Classes {
		if class.Attainment != 1 {
			t.Errorf("%s attained %v, targets %+v", class.Class, class.Attainment, class.Targets)
		}
	}
}

func TestSameSeedSameArrivals(t *testing.T) {
	trace := func(seed uint64) []TraceRecord {
		var out bytes.Buffer
		run(t, Options{Workload: small(), Duration: 5 * time.Second, Seed: seed, TraceOutput: &out}, nil)
		records, err := ReadTrace(&out)
		if err != nil {
			t.Fatal(err)
		}
		for i := range records {
			records[i].FirstToken, records[i].Whole = 0, 0
		}
		return records
	}
	first := trace(1)
	if diff := cmp.Diff(first, trace(1)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(first, trace(2)) {
		t.Error("another seed gave the same arrivals")
	}
}

func TestRepeatedRunsAreViolations(t *testing.T) {
	w := small()
	w.Classes = w.Classes[1:]
	w.Classes[0].DuplicateShare = 1
	got := run(t, Options{Workload: w, Duration: 5 * time.Second, Seed: 1}, nil)
	if got.ByViolation[RanTwice] != got.Requests || got.Duplicates != got.Requests {
		t.Errorf("a service without a router before it ran each key twice: %+v", got)
	}
}

func TestWrongAnswersAreViolations(t *testing.T) {
	w := small()
	w.Classes = w.Classes[:1]
	w.Classes[0].UnaryShare = 0
	front := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{DoubleFrames: true})
		return next
	}
	got := run(t, Options{Workload: w, Duration: 5 * time.Second, Seed: 1}, front)
	if got.Requests == 0 || got.ByViolation[WrongAnswer] != got.Requests {
		t.Errorf("report %+v", got)
	}
}

// writeRefusal answers as the router does.
func writeRefusal(w http.ResponseWriter, run string) {
	w.Header().Set("Retry-After", "3")
	w.Header().Set("Retry-After-Ms", "2500")
	w.Header().Set(headerRun, run)
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"error":{"code":"overloaded","reason":"queue_full","run":%q,"message":"m"}}`, run)
}

func TestCallersComeBackAfterTheToldTime(t *testing.T) {
	w := small()
	w.Classes[0].ReturnShare, w.Classes[1].ReturnShare = 1, 1
	front := func(_ backends, next http.Handler) http.Handler {
		start := time.Now()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if time.Since(start) < 2*time.Second {
				writeRefusal(w, runNo)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
	got := run(t, Options{Workload: w, Duration: 10 * time.Second, Seed: 1}, front)
	if got.Completed != got.Requests || got.Violations != 0 {
		t.Errorf("report %+v", got)
	}
	for _, class := range got.Classes {
		if class.Returns.Returned == 0 || class.Returns.Share != 1 {
			t.Errorf("%s: %+v", class.Class, class.Returns)
		}
	}
}

func TestRunAfterRefusalIsAViolation(t *testing.T) {
	w := small()
	w.Classes[0].ReturnShare, w.Classes[1].ReturnShare = 0, 0
	front := func(_ backends, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(discard{header: make(http.Header)}, r)
			writeRefusal(w, runNo)
		})
	}
	got := run(t, Options{Workload: w, Duration: 5 * time.Second, Seed: 1}, front)
	if got.Refused != got.Requests || got.ByViolation[RanAfterRefusal] != got.Requests {
		t.Errorf("report %+v", got)
	}
}

// discard is a ResponseWriter that drops the answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) FlushError() error           { return nil }

func TestMalformedRefusalsAreViolations(t *testing.T) {
	front := func(backends, http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "busy", http.StatusServiceUnavailable)
		})
	}
	got := run(t, Options{Workload: small(), Duration: 5 * time.Second, Seed: 1}, front)
	if got.Unknown != got.Requests || got.ByViolation[MalformedRefusal] != got.Requests {
		t.Errorf("report %+v", got)
	}
}

func TestReportAsTextAndJSON(t *testing.T) {
	got := run(t, Options{Workload: small(), Duration: 2 * time.Second, Seed: 1}, nil)
	var out bytes.Buffer
	if err := got.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "draft") || !strings.Contains(out.String(), "0 violations") {
		t.Error(out.String())
	}
	raw, err := json.Marshal(got)
	if err != nil || !bytes.Contains(raw, []byte(`"attainment":1`)) {
		t.Errorf("%s %v", raw, err)
	}
}

func TestRunRefusesEmptyOptions(t *testing.T) {
	if _, err := Run(t.Context(), Options{}); err != ErrNoAddress {
		t.Error(err)
	}
	if _, err := Run(t.Context(), Options{Addresses: []string{address}}); err != ErrNoClass {
		t.Error(err)
	}
}
