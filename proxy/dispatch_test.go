package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
)

// scripted is a scheduler that hands out given verdicts: the first at once,
// each further one when script says so.
type scripted struct {
	mu       sync.Mutex
	verdicts chan scheduler.Decision
	failures []schedcore.Failure
	ended    int
	// onProgress and onFailure send further verdicts.
	onProgress func(s *scripted)
	onFailure  func(s *scripted)
}

func newScripted(first scheduler.Decision) *scripted {
	s := &scripted{verdicts: make(chan scheduler.Decision, 16)}
	s.verdicts <- first
	return s
}

func (s *scripted) Submit(context.Context, schedcore.Ticket) scheduler.Session { return s }

func (s *scripted) Decisions() <-chan scheduler.Decision { return s.verdicts }

func (s *scripted) FirstToken(uint32, time.Duration) {
	if s.onProgress != nil {
		s.onProgress(s)
	}
}

func (s *scripted) Progress(uint32, int, time.Duration) {}

func (s *scripted) Fail(f schedcore.Failure) {
	s.mu.Lock()
	s.failures = append(s.failures, f)
	s.mu.Unlock()
	if s.onFailure != nil {
		s.onFailure(s)
	}
}

func (s *scripted) Complete(schedcore.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended++
}

func (s *scripted) Withdraw() {}

func grant(server string, attempt uint32) scheduler.Decision {
	return scheduler.Decision{Kind: scheduler.Granted, Server: server, Attempt: attempt}
}

func TestPreemptedAnswerGoesOnElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	_, clean := f.post(t, "/v1/chat/completions", prompted("loom", true, 40), nil)
	want := answerText(t, clean)
	s := newScripted(grant("engine-a", 1))
	once := sync.OnceFunc(func() {
		s.verdicts <- scheduler.Decision{Kind: scheduler.Preempted, Server: "engine-a", Attempt: 1}
		s.verdicts <- grant("engine-b", 2)
	})
	s.onProgress = func(*scripted) { once() }
	f.proxy.Scheduler = s
	resp, body := f.post(t, "/v1/chat/completions", prompted("loom", true, 40), nil)
	if got := answerText(t, body); resp.StatusCode != 200 || got != want {
		t.Errorf("status %d\ngot  %q\nwant %q", resp.StatusCode, got, want)
	}
	if s.ended != 1 {
		t.Errorf("%d ends", s.ended)
	}
}

// A scheduler that is not the only one may grant a request again that can have
// run. The entry instance knows better.
func TestSecondGrantOfANonIdempotentRequestIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	s := newScripted(grant("engine-a", 1))
	s.onFailure = func(s *scripted) { s.verdicts <- grant("engine-b", 2) }
	f.proxy.Scheduler = s
	resp, _ := f.post(t, "/v1/chat/completions", prompted("once", false, 20), nil)
	if resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	if started := f.engines[1].Counters().Started; started != 0 {
		t.Errorf("the other engine started %d requests", started)
	}
}

func TestRepeatedGrantOfAnAttemptIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	s := newScripted(grant("engine-a", 1))
	s.verdicts <- grant("engine-b", 1)
	f.proxy.Scheduler = s
	f.post(t, "/v1/chat/completions", prompted("loom", true, 5), nil)
	if started := f.engines[0].Counters().Started + f.engines[1].Counters().Started; started != 1 {
		t.Errorf("%d starts", started)
	}
}

// A refusal that the scheduler says ran nothing is not passed on as such if an
// attempt can have run.
func TestRefusalAfterASendIsUnknown(t *testing.T) {
	f := newFixture(t, 1)
	f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	s := newScripted(grant("engine-a", 1))
	s.onFailure = func(s *scripted) {
		s.verdicts <- scheduler.Decision{Kind: scheduler.Refused, Final: outcome.Refused, Reason: outcome.QueueFull}
	}
	f.proxy.Scheduler = s
	resp, _ := f.post(t, "/v1/chat/completions", prompted("loom", false, 20), nil)
	if resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}

func TestDrainIsCheckedBeforeTheSend(t *testing.T) {
	f := newFixture(t, 1)
	entry := f.snapshot.BackendServers["engine-a"]
	entry.Spec.Drain = true
	f.snapshot.BackendServers["engine-a"] = entry
	s := newScripted(grant("engine-a", 1))
	s.onFailure = func(s *scripted) {
		s.verdicts <- scheduler.Decision{Kind: scheduler.Refused, Final: outcome.Refused, Reason: outcome.NoBackendServer}
	}
	f.proxy.Scheduler = s
	resp, _ := f.post(t, "/v1/chat/completions", prompted("loom", false, 5), nil)
	if resp.Header.Get(HeaderRun) != "no" {
		t.Errorf("header %v", resp.Header)
	}
	if started := f.engines[0].Counters().Started; started != 0 {
		t.Errorf("a draining engine started %d requests", started)
	}
	if len(s.failures) != 1 || !s.failures[0].NotStarted {
		t.Errorf("failures %+v", s.failures)
	}
}

func TestFrozenEngineIsLeft(t *testing.T) {
	f := newFixture(t, 2)
	f.proxy.Limits.StallTimeout = 100 * time.Millisecond
	_, clean := f.post(t, "/v1/chat/completions", prompted("loom", true, 10), nil)
	want := answerText(t, clean)
	f.engines[0].SetFaults(engineapi.EngineFaults{Frozen: true})
	defer f.engines[0].SetFaults(engineapi.EngineFaults{})
	s := newScripted(grant("engine-a", 1))
	s.onFailure = func(s *scripted) { s.verdicts <- grant("engine-b", 2) }
	f.proxy.Scheduler = s
	_, body := f.post(t, "/v1/chat/completions", prompted("loom", true, 10), nil)
	if got := answerText(t, body); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if len(s.failures) != 1 || s.failures[0].Reason != outcome.ServerTimeout {
		t.Errorf("failures %+v", s.failures)
	}
}

func TestProgressReportsOfAnInstanceAreBounded(t *testing.T) {
	p := New(Options{})
	for _, streams := range []int64{1, 50, 104, 400, 100_000} {
		p.streams.Store(streams)
		interval := p.progressInterval()
		if interval < minProgressInterval || interval > maxProgressInterval {
			t.Errorf("%d streams: interval %v", streams, interval)
		}
		if perSecond := float64(streams) / interval.Seconds(); streams <= 400 && perSecond > 50 {
			t.Errorf("%d streams: %.0f reports a second", streams, perSecond)
		}
	}
}
