package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// harness runs a core tick by tick and checks each tick with an Auditor.
type harness struct {
	t       *testing.T
	core    *Core
	auditor *Auditor
	now     time.Duration
	in      Input
	out     Output
	running map[string][]Grant // by server: grants of requests that have not completed or failed
	nextID  int
}

func newHarness(t *testing.T, opts Options, cfg *Config) *harness {
	h := &harness{t: t, core: New(opts), auditor: NewAuditor(opts), running: make(map[string][]Grant)}
	h.in.Config = cfg
	h.tick(0)
	return h
}

// tick advances the time by dt, runs one tick and returns its output.
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

// submit adds n tickets of a class and returns the ID of the last ticket.
func (h *harness) submit(n int, class string, changes ...func(*Ticket)) RequestID {
	var id RequestID
	for range n {
		h.nextID++
		t := newTicket(h.nextID, class)
		for _, f := range changes {
			f(&t)
		}
		h.in.Tickets = append(h.in.Tickets, t)
		id = t.ID
	}
	return id
}

// completeAll reports the completion of all granted requests, each with an
// answer of the given number of tokens.
func (h *harness) completeAll(tokens int) {
	for name, grants := range h.running {
		for _, g := range grants {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 100, Tokens: tokens})
		}
		delete(h.running, name)
	}
}

// failAll reports the failure of all requests granted on a server.
func (h *harness) failAll(server string, reason outcome.Reason, notStarted bool) {
	for _, g := range h.running[server] {
		h.in.Failures = append(h.in.Failures, Failure{ID: g.ID, Attempt: g.Attempt, Reason: reason, NotStarted: notStarted})
	}
	delete(h.running, server)
}

// poolConfig returns overloadConfig with one server for each argument, which is
// the server's number of slots. The servers are named s0, s1 and so on.
func poolConfig(slots ...int) *Config {
	cfg := overloadConfig()
	cfg.Servers = nil
	for i, n := range slots {
		cfg.Servers = append(cfg.Servers, Server{Name: "s" + string(rune('0'+i)), Slots: n})
	}
	return cfg
}
