package loadgen

import (
	"context"
	"net/http"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/standin/engine"
)

// streamingWorkload is a workload of streamed completions only.
func streamingWorkload() Workload {
	w := smallWorkload()
	w.Classes = w.Classes[:1]
	w.Classes[0].UnaryShare = 0
	return w
}

// TestCallersLeaveEarly checks that callers that leave count as abandoned,
// don't lower the attainment, and have their requests cancelled at the engine.
func TestCallersLeaveEarly(t *testing.T) {
	w := streamingWorkload()
	w.Classes[0].LeaveShare, w.Classes[0].MeanLeaveAfter = 1, 10*time.Millisecond
	var engineServer *engine.Server
	wrapHandler := func(b backends, next http.Handler) http.Handler {
		engineServer = b.engine
		return next
	}
	got := runInVirtualTime(t, Options{Workload: w, Duration: 10 * time.Second, Seed: 1}, wrapHandler)
	if got.Abandoned < got.Requests*8/10 || got.Abandoned+got.Completed != got.Requests || got.Violations != 0 {
		t.Errorf("want at least four fifths of the requests abandoned, the others completed and no violations; report %+v", got)
	}
	if got.Classes[0].Attainment != 1 && got.Completed > 0 {
		t.Errorf("want attainment 1, since callers who left do not count; class report %+v", got.Classes[0])
	}
	if counters := engineServer.Counters(); counters.Cancelled == 0 || counters.Running != 0 {
		t.Errorf("want cancelled requests and none running at the engine; counters %+v", counters)
	}
}

// TestTooManyOpenRequestsAreSkipped checks that arrivals beyond MaxOpen are
// counted as skipped and not sent. The engine is frozen for 20 s, so the first
// five requests stay open.
func TestTooManyOpenRequestsAreSkipped(t *testing.T) {
	w := streamingWorkload().Scale(10)
	wrapHandler := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{Frozen: true})
		time.AfterFunc(20*time.Second, func() { b.engine.SetFaults(engineapi.EngineFaults{}) })
		return next
	}
	got := runInVirtualTime(t, Options{Workload: w, Duration: 10 * time.Second, Seed: 1, MaxOpen: 5}, wrapHandler)
	if got.Requests != 5 || got.Completed != 5 || got.Skipped < 100 {
		t.Errorf("want 5 requests, all completed, and at least 100 skipped; report %+v", got)
	}
}

// TestArrivalsDoNotWaitForResponses checks that as many requests arrive with a
// frozen engine as with a working one. A load generator that waits for
// responses would send fewer and hide the delay.
func TestArrivalsDoNotWaitForResponses(t *testing.T) {
	wrapHandler := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{Frozen: true})
		return next
	}
	w := streamingWorkload()
	frozen := runInVirtualTime(t, Options{Workload: w, Duration: 20 * time.Second, Seed: 1}, wrapHandler)
	served := runInVirtualTime(t, Options{Workload: w, Duration: 20 * time.Second, Seed: 1}, nil)
	if frozen.Requests != served.Requests || frozen.Unknown != frozen.Requests {
		t.Errorf("want the same number of requests with a frozen and a working engine, and all unknown with the frozen one; frozen %+v, working %+v", frozen, served)
	}
	if n := frozen.Classes[0].Unknowns[reasonNoAnswer]; n != frozen.Requests {
		t.Errorf("%d of %d requests ended with reason no_answer, want all", n, frozen.Requests)
	}
}

// TestNobodyReturnsAfterTheRun checks that a refused caller returns only if its
// Retry-After time ends before the end of the run, so that the run isn't
// prolonged.
func TestNobodyReturnsAfterTheRun(t *testing.T) {
	w := streamingWorkload()
	w.Classes[0].ReturnShare = 1
	wrapHandler := func(backends, http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, runNo) })
	}
	got := runInVirtualTime(t, Options{Workload: w, Duration: 10 * time.Second, DrainTimeout: time.Second, Seed: 1}, wrapHandler)
	if got.Refused != got.Requests || got.Seconds > 11 || got.Classes[0].Returns.Returned == 0 {
		t.Errorf("want all requests refused, some callers returning, and the last response at most 11 s after the start of the run; report %+v", got)
	}
	if got.Classes[0].Refusals["queue_full"] != got.Requests {
		t.Errorf("want reason queue_full for all refusals, got %+v", got.Classes[0].Refusals)
	}
}

// TestCutStreamsAreUnknown checks that a stream that the engine cuts ends with
// an unknown outcome and that its correct beginning isn't counted as a wrong
// answer.
func TestCutStreamsAreUnknown(t *testing.T) {
	wrapHandler := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 1})
		return next
	}
	got := runInVirtualTime(t, Options{Workload: streamingWorkload(), Duration: 10 * time.Second, Seed: 1}, wrapHandler)
	if got.Unknown != got.Requests || got.Violations != 0 || got.Classes[0].Unknowns[reasonConnectionLost] != got.Requests {
		t.Errorf("want all requests unknown with reason connection_lost and no violations; report %+v", got)
	}
}

// TestErrorObjectEndsAStream checks the outcome of a stream that an error
// object ends after the first token. Two error objects are violations: a
// refusal, because the request ran, and an error object without a code.
func TestErrorObjectEndsAStream(t *testing.T) {
	tests := []struct {
		data       string
		final      outcome.Final
		violations int
	}{
		{`{"error":{"code":"c","reason":"stream_cut","run":"unknown","message":"m"}}`, outcome.Unknown, 0},
		{`{"error":{"code":"c","reason":"stream_cut","run":"no","message":"m"}}`, outcome.Refused, 1},
		{`{"error":{"message":"m"}}`, outcome.Unknown, 1},
	}
	for _, test := range tests {
		q := &request{answerTokens: 2, promptDigest: 7}
		r := &responseReader{request: q}
		r.addContent(q.promptDigest.Token(0))
		if r.readEvent(test.data) {
			t.Errorf("event %s: the stream goes on, want its end", test.data)
		}
		if r.result.finalOutcome != test.final || len(r.result.violations) != test.violations {
			t.Errorf("event %s: want the outcome and the number of violations of the test case, got %+v", test.data, r.result)
		}
	}
}

// TestCancelledRunReturnsAReport checks that Run returns a report if its
// context is cancelled before the first arrival.
func TestCancelledRunReturnsAReport(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got, err := Run(ctx, Options{Addresses: []string{testAddress}, Workload: smallWorkload(), Duration: time.Hour})
	if err != nil || got.Completed != 0 || got.Violations != 0 {
		t.Errorf("want a report without completed requests or violations, and no error; got %+v, %v", got, err)
	}
}
