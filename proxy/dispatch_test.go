package proxy

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/routing"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
)

// scriptedScheduler is a scheduler that returns decisions set by the test. The
// first decision is available at once; the callbacks send the others.
type scriptedScheduler struct {
	mu          sync.Mutex
	decisions   chan scheduler.Decision
	failures    []schedcore.Failure
	completions int
	// onFirstToken is called on an attempt's first token, and onFailure on a
	// failed attempt. Both may send further decisions, and may be nil.
	onFirstToken func(s *scriptedScheduler)
	onFailure    func(s *scriptedScheduler)
}

func newScriptedScheduler(first scheduler.Decision) *scriptedScheduler {
	s := &scriptedScheduler{decisions: make(chan scheduler.Decision, 16)}
	s.decisions <- first
	return s
}

func (s *scriptedScheduler) Submit(context.Context, schedcore.Ticket) scheduler.Session { return s }

func (s *scriptedScheduler) Decisions() <-chan scheduler.Decision { return s.decisions }

func (s *scriptedScheduler) FirstToken(uint32, time.Duration) {
	if s.onFirstToken != nil {
		s.onFirstToken(s)
	}
}

func (s *scriptedScheduler) Progress(uint32, int, time.Duration) {}

func (s *scriptedScheduler) Fail(f schedcore.Failure) {
	s.mu.Lock()
	s.failures = append(s.failures, f)
	s.mu.Unlock()
	if s.onFailure != nil {
		s.onFailure(s)
	}
}

func (s *scriptedScheduler) Complete(schedcore.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completions++
}

func (s *scriptedScheduler) Withdraw() {}

func grant(server string, attempt uint32) scheduler.Decision {
	return scheduler.Decision{Kind: scheduler.Granted, Server: server, Attempt: attempt}
}

// TestPreemptedAnswerContinuesAtAnotherServer preempts a stream after its first
// token. The caller must get the same text as without the preemption.
func TestPreemptedAnswerContinuesAtAnotherServer(t *testing.T) {
	f := newFixture(t, 2)
	_, undisturbed := f.post(t, "/v1/chat/completions", chatBody("loom", true, 40), nil)
	want := answerText(t, undisturbed)
	s := newScriptedScheduler(grant("engine-a", 1))
	once := sync.OnceFunc(func() {
		s.decisions <- scheduler.Decision{Kind: scheduler.Preempted, Server: "engine-a", Attempt: 1}
		s.decisions <- grant("engine-b", 2)
	})
	s.onFirstToken = func(*scriptedScheduler) { once() }
	f.proxy.Scheduler = s
	resp, body := f.post(t, "/v1/chat/completions", chatBody("loom", true, 40), nil)
	if got := answerText(t, body); resp.StatusCode != 200 || got != want {
		t.Errorf("got status %d, want 200\ngot the answer  %q\nwant the answer %q", resp.StatusCode, got, want)
	}
	if s.completions != 1 {
		t.Errorf("got %d completions, want 1", s.completions)
	}
}

// TestSecondGrantOfANonIdempotentRequestIsNotSent covers a pool that has two
// schedulers for a while. The second scheduler may grant a request again
// that may already have run. The entry instance knows of the first attempt
// and must not send a second one.
func TestSecondGrantOfANonIdempotentRequestIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	s := newScriptedScheduler(grant("engine-a", 1))
	s.onFailure = func(s *scriptedScheduler) { s.decisions <- grant("engine-b", 2) }
	f.proxy.Scheduler = s
	resp, _ := f.post(t, "/v1/chat/completions", chatBody("once", false, 20), nil)
	if resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("got status %d, header %v; want the header Bergamotpin-Run to be unknown", resp.StatusCode, resp.Header)
	}
	if started := f.engines[1].Counters().Started; started != 0 {
		t.Errorf("the second engine started %d requests, want 0", started)
	}
}

// routeChanges are changes after which a request of the route "loom" may not run again.
var routeChanges = map[string]func(routes map[string]config.Entry[api.RouteSpec]){
	"not idempotent": func(routes map[string]config.Entry[api.RouteSpec]) {
		route := routes["loom"]
		route.Spec.Idempotent = false
		routes["loom"] = route
	},
	"removed": func(routes map[string]config.Entry[api.RouteSpec]) { delete(routes, "loom") },
}

// changeable returns a function that puts the changed routes in force.
func (f *fixture) changeable(change func(routes map[string]config.Entry[api.RouteSpec])) func() {
	var index atomic.Pointer[routing.Index]
	index.Store(f.proxy.Index())
	f.proxy.Index = index.Load
	return func() {
		changed := *f.snapshot
		changed.Routes = maps.Clone(f.snapshot.Routes)
		change(changed.Routes)
		index.Store(routing.NewIndex(&changed))
	}
}

// TestSecondGrantAfterChangeOfRouteIsNotSent guards against a second run of a request that ran by an
// idempotent route, after a new configuration has made the route another one or removed it.
func TestSecondGrantAfterChangeOfRouteIsNotSent(t *testing.T) {
	for name, change := range routeChanges {
		for _, preempted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, preempted %v", name, preempted), func(t *testing.T) {
				f := newFixture(t, 2)
				changeRoute := f.changeable(change)
				s := newScriptedScheduler(grant("engine-a", 1))
				if preempted {
					s.onFirstToken = func(s *scriptedScheduler) {
						changeRoute()
						s.decisions <- scheduler.Decision{Kind: scheduler.Preempted, Server: "engine-a", Attempt: 1}
						s.decisions <- grant("engine-b", 2)
					}
				} else {
					f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
					s.onFailure = func(s *scriptedScheduler) {
						changeRoute()
						s.decisions <- grant("engine-b", 2)
					}
				}
				f.proxy.Scheduler = s
				resp, _ := f.post(t, "/v1/chat/completions", chatBody("loom", false, 40), nil)
				if resp.Header.Get(HeaderRun) != "unknown" {
					t.Errorf("got status %d, header %v; want the header Bergamotpin-Run to be unknown", resp.StatusCode, resp.Header)
				}
				if started := f.engines[1].Counters().Started; started != 0 {
					t.Errorf("the second engine started %d requests, want 0", started)
				}
			})
		}
	}
}

// TestCutStreamIsResumedAfterChangeOfRoute guards against a stream that is cut and starts again at its
// server, because a new configuration has changed its route.
func TestCutStreamIsResumedAfterChangeOfRoute(t *testing.T) {
	for name, change := range routeChanges {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.engines[0].SetFaults(engineapi.EngineFaults{CutAfterTokens: 5})
			changeRoute := f.changeable(change)
			s := newScriptedScheduler(grant("engine-a", 1))
			s.onFirstToken = func(*scriptedScheduler) { changeRoute() }
			f.proxy.Scheduler = s
			resp, body := f.post(t, "/v1/chat/completions", chatBody("loom", true, 20), nil)
			if counters := f.engines[0].Counters(); resp.StatusCode != 200 || counters.Started != 1 || counters.Cancelled != 0 {
				t.Errorf("got status %d, and the engine counted %+v; want 200 and one start; body %s", resp.StatusCode, counters, body)
			}
		})
	}
}

// TestSecondGrantOfAnAnswerThatCannotGoOnIsNotSent guards against an answer of several texts that begins
// anew at another server after a part of it went to the caller, although its route is idempotent.
func TestSecondGrantOfAnAnswerThatCannotGoOnIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	s := newScriptedScheduler(grant("engine-a", 1))
	s.onFailure = func(s *scriptedScheduler) { s.decisions <- grant("engine-b", 2) }
	f.proxy.Scheduler = s
	body := strings.Replace(chatBody("loom", true, 20), "{", `{"n":2,`, 1)
	_, got := f.post(t, "/v1/chat/completions", body, nil)
	if started := f.engines[1].Counters().Started; started != 0 {
		t.Errorf("the second engine started %d requests, want 0; the caller got %s", started, got)
	}
}

// TestDuplicateGrantOfAnAttemptIsNotSent sends a second grant with the number of
// an attempt that was already granted. The second grant must be ignored.
func TestDuplicateGrantOfAnAttemptIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	s := newScriptedScheduler(grant("engine-a", 1))
	s.decisions <- grant("engine-b", 1)
	f.proxy.Scheduler = s
	f.post(t, "/v1/chat/completions", chatBody("loom", true, 5), nil)
	if started := f.engines[0].Counters().Started + f.engines[1].Counters().Started; started != 1 {
		t.Errorf("the engines started %d requests, want 1", started)
	}
}

// TestRefusalAfterASendIsUnknown covers an attempt that may have run. The caller
// must not be told that the request was not run, even if the scheduler's refusal
// says so.
func TestRefusalAfterASendIsUnknown(t *testing.T) {
	f := newFixture(t, 1)
	f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	s := newScriptedScheduler(grant("engine-a", 1))
	s.onFailure = func(s *scriptedScheduler) {
		s.decisions <- scheduler.Decision{Kind: scheduler.Refused, Final: outcome.Refused, Reason: outcome.QueueFull}
	}
	f.proxy.Scheduler = s
	resp, _ := f.post(t, "/v1/chat/completions", chatBody("loom", false, 20), nil)
	if resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("got status %d, header %v; want the header Bergamotpin-Run to be unknown", resp.StatusCode, resp.Header)
	}
}

// TestDrainIsCheckedBeforeSending grants a server that is draining by the time
// of the send. Nothing may be sent to this server.
func TestDrainIsCheckedBeforeSending(t *testing.T) {
	f := newFixture(t, 1)
	entry := f.snapshot.BackendServers["engine-a"]
	entry.Spec.Drain = true
	f.snapshot.BackendServers["engine-a"] = entry
	s := newScriptedScheduler(grant("engine-a", 1))
	s.onFailure = func(s *scriptedScheduler) {
		s.decisions <- scheduler.Decision{Kind: scheduler.Refused, Final: outcome.Refused, Reason: outcome.NoBackendServer}
	}
	f.proxy.Scheduler = s
	resp, _ := f.post(t, "/v1/chat/completions", chatBody("loom", false, 5), nil)
	if resp.Header.Get(HeaderRun) != "no" {
		t.Errorf("got header %v, want the header Bergamotpin-Run to be no", resp.Header)
	}
	if started := f.engines[0].Counters().Started; started != 0 {
		t.Errorf("the draining engine started %d requests, want 0", started)
	}
	if len(s.failures) != 1 || !s.failures[0].NotStarted {
		t.Errorf("got the failures %+v, want one with NotStarted set", s.failures)
	}
}

// TestRequestLeavesFrozenEngine checks that an attempt at an engine that sends
// nothing ends after the stall timeout, and that another engine gives the answer.
func TestRequestLeavesFrozenEngine(t *testing.T) {
	f := newFixture(t, 2)
	f.proxy.Limits.StallTimeout = 100 * time.Millisecond
	_, undisturbed := f.post(t, "/v1/chat/completions", chatBody("loom", true, 10), nil)
	want := answerText(t, undisturbed)
	f.engines[0].SetFaults(engineapi.EngineFaults{Frozen: true})
	defer f.engines[0].SetFaults(engineapi.EngineFaults{})
	s := newScriptedScheduler(grant("engine-a", 1))
	s.onFailure = func(s *scriptedScheduler) { s.decisions <- grant("engine-b", 2) }
	f.proxy.Scheduler = s
	_, body := f.post(t, "/v1/chat/completions", chatBody("loom", true, 10), nil)
	if got := answerText(t, body); got != want {
		t.Errorf("got the answer %q, want %q", got, want)
	}
	if len(s.failures) != 1 || s.failures[0].Reason != outcome.ServerTimeout {
		t.Errorf("got the failures %+v, want one with the reason server_timeout", s.failures)
	}
}

// TestProgressReportsAreLimited checks that an instance with up to 400 streams
// sends at most 50 progress reports per second, and that the interval between two
// reports of a stream stays within its limits.
func TestProgressReportsAreLimited(t *testing.T) {
	p := New(Options{})
	for _, streams := range []int64{1, 50, 104, 400, 100_000} {
		p.streams.Store(streams)
		interval := p.progressInterval()
		if interval < minProgressInterval || interval > maxProgressInterval {
			t.Errorf("%d streams: got the interval %v, want 1 s to 10 s", streams, interval)
		}
		if perSecond := float64(streams) / interval.Seconds(); streams <= 400 && perSecond > 50 {
			t.Errorf("%d streams: got %.0f reports per second, want at most 50", streams, perSecond)
		}
	}
}
