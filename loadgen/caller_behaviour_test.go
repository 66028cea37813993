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

// onlyChat is a workload of streamed completions.
func onlyChat() Workload {
	w := small()
	w.Classes = w.Classes[:1]
	w.Classes[0].UnaryShare = 0
	return w
}

func TestCallersLeaveEarly(t *testing.T) {
	w := onlyChat()
	w.Classes[0].LeaveShare, w.Classes[0].LeaveAfter = 1, 10*time.Millisecond
	var served *engine.Server
	front := func(b backends, next http.Handler) http.Handler {
		served = b.engine
		return next
	}
	got := run(t, Options{Workload: w, Duration: 10 * time.Second, Seed: 1}, front)
	if got.Abandoned < got.Requests*8/10 || got.Abandoned+got.Completed != got.Requests || got.Violations != 0 {
		t.Errorf("report %+v", got)
	}
	if got.Classes[0].Attainment != 1 && got.Completed > 0 {
		t.Errorf("callers who left count against the attainment: %+v", got.Classes[0])
	}
	if counters := served.Counters(); counters.Cancelled == 0 || counters.Running != 0 {
		t.Errorf("the engine's counters %+v", counters)
	}
}

func TestTooManyOpenRequestsAreSkipped(t *testing.T) {
	w := onlyChat().Scale(10)
	front := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{Frozen: true})
		time.AfterFunc(20*time.Second, func() { b.engine.SetFaults(engineapi.EngineFaults{}) })
		return next
	}
	got := run(t, Options{Workload: w, Duration: 10 * time.Second, Seed: 1, MaxOpen: 5}, front)
	if got.Requests != 5 || got.Completed != 5 || got.Skipped < 100 {
		t.Errorf("report %+v", got)
	}
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	front := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{Frozen: true})
		return next
	}
	w := onlyChat()
	frozen := run(t, Options{Workload: w, Duration: 20 * time.Second, Seed: 1}, front)
	served := run(t, Options{Workload: w, Duration: 20 * time.Second, Seed: 1}, nil)
	if frozen.Requests != served.Requests || frozen.Unknown != frozen.Requests {
		t.Errorf("frozen %+v, served %+v", frozen, served)
	}
	if n := frozen.Classes[0].Unknowns[reasonNoAnswer]; n != frozen.Requests {
		t.Errorf("%d of %d had no answer", n, frozen.Requests)
	}
}

func TestNobodyReturnsAfterTheRun(t *testing.T) {
	w := onlyChat()
	w.Classes[0].ReturnShare = 1
	front := func(backends, http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, runNo) })
	}
	got := run(t, Options{Workload: w, Duration: 10 * time.Second, Drain: time.Second, Seed: 1}, front)
	if got.Refused != got.Requests || got.Seconds > 11 || got.Classes[0].Returns.Returned == 0 {
		t.Errorf("report %+v", got)
	}
	if got.Classes[0].Refusals["queue_full"] != got.Requests {
		t.Errorf("reasons %+v", got.Classes[0].Refusals)
	}
}

func TestCutStreamsAreUnknown(t *testing.T) {
	front := func(b backends, next http.Handler) http.Handler {
		b.engine.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 1})
		return next
	}
	got := run(t, Options{Workload: onlyChat(), Duration: 10 * time.Second, Seed: 1}, front)
	if got.Unknown != got.Requests || got.Violations != 0 || got.Classes[0].Unknowns[reasonConnection] != got.Requests {
		t.Errorf("report %+v", got)
	}
}

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
		q := &request{tokens: 2, digest: 7}
		r := &reading{request: q}
		r.content(q.digest.Token(0))
		if r.event(test.data) {
			t.Errorf("%s did not end the stream", test.data)
		}
		if r.result.final != test.final || len(r.result.violations) != test.violations {
			t.Errorf("%s gave %+v", test.data, r.result)
		}
	}
}

func TestCancelledRunReports(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got, err := Run(ctx, Options{Addresses: []string{address}, Workload: small(), Duration: time.Hour})
	if err != nil || got.Completed != 0 || got.Violations != 0 {
		t.Errorf("%+v, %v", got, err)
	}
}
