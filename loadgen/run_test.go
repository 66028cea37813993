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

const testAddress = "10.0.0.1:80"

// backends are the engine and the plain service that serve testAddress.
type backends struct {
	engine  *engine.Server
	service *service.Server
}

// runInVirtualTime runs the load generator in virtual time against one engine
// and one plain service. If wrapHandler is set, the handler that it returns
// serves the requests in place of the backends' handler.
func runInVirtualTime(t *testing.T, opts Options, wrapHandler func(b backends, next http.Handler) http.Handler) (report Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := backends{engine.New(engine.Options{MaxBatch: 64}), service.New(service.Options{})}
		defer b.engine.Close()
		defer b.service.Close()
		mux := http.NewServeMux()
		mux.Handle(engineapi.PathCompletions, b.engine)
		mux.Handle("/v1/services/", b.service)
		var handler http.Handler = mux
		if wrapHandler != nil {
			handler = wrapHandler(b, mux)
		}
		var network pipenet.Network
		defer network.Serve(testAddress, handler)()
		opts.Addresses = []string{testAddress}
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

// smallWorkload is a workload with one class for the engine and one for the
// plain service.
func smallWorkload() Workload {
	w := AgendaAndinaWorkload()
	draft, order := w.Classes[0], w.Classes[3]
	draft.LeaveShare, draft.UnaryShare, order.DuplicateShare = 0, 0.5, 0
	w.Classes = []Class{draft, order}
	return w
}

// TestHealthyRunHasNoViolation checks that a run without faults completes all
// requests within their latency targets and reports no violation.
func TestHealthyRunHasNoViolation(t *testing.T) {
	got := runInVirtualTime(t, Options{Workload: smallWorkload(), Duration: 20 * time.Second, Seed: 1}, nil)
	if got.Requests < 50 || got.Completed != got.Requests || got.Violations != 0 {
		t.Errorf("want at least 50 requests, all completed, and no violations; report %+v", got)
	}
	for _, class := range got.Classes {
		if class.Attainment != 1 {
			t.Errorf("class %s has attainment %v, want 1; targets %+v", class.Class, class.Attainment, class.Targets)
		}
	}
}

// TestSameSeedGivesSameArrivals checks that a seed determines the trace of a
// run except for its latencies, and that another seed gives another trace.
func TestSameSeedGivesSameArrivals(t *testing.T) {
	trace := func(seed uint64) []TraceRecord {
		var out bytes.Buffer
		runInVirtualTime(t, Options{Workload: smallWorkload(), Duration: 5 * time.Second, Seed: seed, TraceOutput: &out}, nil)
		records, err := ReadTrace(&out)
		if err != nil {
			t.Fatal(err)
		}
		for i := range records {
			records[i].FirstTokenMillis, records[i].WholeMillis = 0, 0
		}
		return records
	}
	first := trace(1)
	if diff := cmp.Diff(first, trace(1)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(first, trace(2)) {
		t.Error("seeds 1 and 2 gave the same trace, want different ones")
	}
}

// TestDuplicateRunsAreViolations checks that an idempotency key that ran twice
// is counted as a violation. The requests go directly to the plain service, and
// the plain service runs duplicates.
func TestDuplicateRunsAreViolations(t *testing.T) {
	w := smallWorkload()
	w.Classes = w.Classes[1:]
	w.Classes[0].DuplicateShare = 1
	got := runInVirtualTime(t, Options{Workload: w, Duration: 5 * time.Second, Seed: 1}, nil)
	if got.ByViolation[RanTwice] != got.Requests || got.Duplicates != got.Requests {
		t.Errorf("want one duplicate and one ran_twice violation for each request; report %+v", got)
	}
}

// TestWrongAnswersAreViolations checks that an answer with duplicate frames
// counts as a wrong answer.
func TestWrongAnswersAreViolations(t *testing.T) {
	w := smallWorkload()
	w.Classes = w.Classes[:1]
	w.Classes[0].UnaryShare = 0
	wrapHandler := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{DuplicateFrames: true})
		return next
	}
	got := runInVirtualTime(t, Options{Workload: w, Duration: 5 * time.Second, Seed: 1}, wrapHandler)
	if got.Requests == 0 || got.ByViolation[WrongAnswer] != got.Requests {
		t.Errorf("want a wrong answer for each request; report %+v", got)
	}
}

// writeRefusal writes a refusal in the router's format, with a Retry-After time
// of 2.5 s.
func writeRefusal(w http.ResponseWriter, run string) {
	w.Header().Set("Retry-After", "3")
	w.Header().Set("Retry-After-Ms", "2500")
	w.Header().Set(headerRun, run)
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"error":{"code":"overloaded","reason":"queue_full","run":%q,"message":"m"}}`, run)
}

// TestRefusedCallersReturnAfterRetryAfter checks that refused callers return
// after the Retry-After time and count as admitted. The handler refuses all
// requests of the first 2 s with a Retry-After time of 2.5 s.
func TestRefusedCallersReturnAfterRetryAfter(t *testing.T) {
	w := smallWorkload()
	w.Classes[0].ReturnShare, w.Classes[1].ReturnShare = 1, 1
	wrapHandler := func(_ backends, next http.Handler) http.Handler {
		start := time.Now()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if time.Since(start) < 2*time.Second {
				writeRefusal(w, runNo)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
	got := runInVirtualTime(t, Options{Workload: w, Duration: 10 * time.Second, Seed: 1}, wrapHandler)
	if got.Completed != got.Requests || got.Violations != 0 {
		t.Errorf("want all requests completed and no violations; report %+v", got)
	}
	for _, class := range got.Classes {
		if class.Returns.Returned == 0 || class.Returns.Share != 1 {
			t.Errorf("class %s: want callers that returned, all of them admitted; got %+v", class.Class, class.Returns)
		}
	}
}

// TestRunAfterRefusalIsAViolation checks that a refused request that ran is
// counted as a violation. The handler runs each request, drops the response and
// sends a refusal.
func TestRunAfterRefusalIsAViolation(t *testing.T) {
	w := smallWorkload()
	w.Classes[0].ReturnShare, w.Classes[1].ReturnShare = 0, 0
	wrapHandler := func(_ backends, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(discardingWriter{header: make(http.Header)}, r)
			writeRefusal(w, runNo)
		})
	}
	got := runInVirtualTime(t, Options{Workload: w, Duration: 5 * time.Second, Seed: 1}, wrapHandler)
	if got.Refused != got.Requests || got.ByViolation[RanAfterRefusal] != got.Requests {
		t.Errorf("want all requests refused, and a ran_after_refusal violation for each; report %+v", got)
	}
}

// discardingWriter is a ResponseWriter that drops the response.
type discardingWriter struct{ header http.Header }

func (d discardingWriter) Header() http.Header         { return d.header }
func (d discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardingWriter) WriteHeader(int)             {}
func (d discardingWriter) FlushError() error           { return nil }

// TestMalformedRefusalsAreViolations checks that an error response without the
// router's error object counts as a malformed refusal.
func TestMalformedRefusalsAreViolations(t *testing.T) {
	wrapHandler := func(backends, http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "busy", http.StatusServiceUnavailable)
		})
	}
	got := runInVirtualTime(t, Options{Workload: smallWorkload(), Duration: 5 * time.Second, Seed: 1}, wrapHandler)
	if got.Unknown != got.Requests || got.ByViolation[MalformedRefusal] != got.Requests {
		t.Errorf("want all outcomes unknown, and a malformed_refusal violation for each request; report %+v", got)
	}
}

// TestReportAsTextAndJSON checks that the text report names the classes and the
// violations, and that the JSON report has the attainment.
func TestReportAsTextAndJSON(t *testing.T) {
	got := runInVirtualTime(t, Options{Workload: smallWorkload(), Duration: 2 * time.Second, Seed: 1}, nil)
	var out bytes.Buffer
	if err := got.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "draft") || !strings.Contains(out.String(), "0 violations") {
		t.Error(out.String())
	}
	raw, err := json.Marshal(got)
	if err != nil || !bytes.Contains(raw, []byte(`"attainment":1`)) {
		t.Errorf("want JSON with attainment 1, got %s, error %v", raw, err)
	}
}

// TestRunRejectsIncompleteOptions checks the errors for options without
// addresses and for a workload without classes.
func TestRunRejectsIncompleteOptions(t *testing.T) {
	if _, err := Run(t.Context(), Options{}); err != ErrNoAddress {
		t.Error(err)
	}
	if _, err := Run(t.Context(), Options{Addresses: []string{testAddress}}); err != ErrNoClass {
		t.Error(err)
	}
}
