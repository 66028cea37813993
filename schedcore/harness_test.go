package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// harness ticks a core by hand and audits each tick.
type harness struct {
	t       *testing.T
	core    *Core
	auditor *Auditor
	now     time.Duration
	in      Input
	out     Output
	running map[string][]Grant // by server
	next    int
}

func newHarness(t *testing.T, opts Options, cfg *Config) *harness {
	h := &harness{t: t, core: New(opts), auditor: NewAuditor(opts), running: make(map[string][]Grant)}
	h.in.Config = cfg
	h.tick(0)
	return h
}

// tick moves time on and runs one tick.
func (h *harness) tick(dt time.Duration) *Output {
	h.t.Helper()
	h.now += dt
	h.core.Tick(h.now, &h.in, &h.out)
	for _, v := range h.auditor.Check(h.now, &h.in, &h.out, h.core.Capacity()) {
		h.t.Error(v)
	}
	h.in.Reset()
	for _, g := range h.out.Grants {
		h.running[g.Server] = append(h.running[g.Server], g)
	}
	return &h.out
}

// submit adds n tickets of a class and returns the last one's id.
func (h *harness) submit(n int, class string, change ...func(*Ticket)) RequestID {
	var id RequestID
	for range n {
		h.next++
		t := ticketOf(h.next, class)
		for _, f := range change {
			f(&t)
		}
		h.in.Tickets = append(h.in.Tickets, t)
		id = t.ID
	}
	return id
}

// end completes everything that was granted.
func (h *harness) end(tokens int) {
	for name, grants := range h.running {
		for _, g := range grants {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 100, Tokens: tokens})
		}
		delete(h.running, name)
	}
}

// fail fails everything that was granted on a server.
func (h *harness) fail(server string, reason outcome.Reason, notStarted bool) {
	for _, g := range h.running[server] {
		h.in.Failures = append(h.in.Failures, Failure{ID: g.ID, Attempt: g.Attempt, Reason: reason, NotStarted: notStarted})
	}
	delete(h.running, server)
}

func poolOf(slots ...int) *Config {
	cfg := overloadConfig()
	cfg.Servers = nil
	for i, n := range slots {
		cfg.Servers = append(cfg.Servers, Server{Name: "s" + string(rune('0'+i)), Slots: n})
	}
	return cfg
}
