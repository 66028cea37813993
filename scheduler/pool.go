package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/decision"
)

// pool runs one decision core. Events gather in next until the loop swaps the
// two inputs and ticks.
type pool struct {
	core *decision.Core
	tick time.Duration
	wake chan struct{}

	mu       sync.Mutex
	next     *decision.Input
	sessions map[decision.RequestID]*localSession

	// Owned by the loop.
	current *decision.Input
	out     decision.Output
	start   time.Time
}

func newPool(core *decision.Core, tick time.Duration) *pool {
	return &pool{
		core:     core,
		tick:     tick,
		wake:     make(chan struct{}, 1),
		next:     &decision.Input{},
		current:  &decision.Input{},
		sessions: make(map[decision.RequestID]*localSession),
		start:    time.Now(),
	}
}

// add gathers events for the next tick.
func (p *pool) add(event func(in *decision.Input)) {
	p.mu.Lock()
	event(p.next)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pool) submit(t decision.Ticket) Session {
	s := &localSession{pool: p, id: t.ID, verdicts: make(chan Verdict, verdictBuffer)}
	p.add(func(in *decision.Input) {
		in.Tickets = append(in.Tickets, t)
		p.sessions[t.ID] = s
	})
	return s
}

// run ticks at events, and at each interval while sessions are open.
func (p *pool) run(done <-chan struct{}) {
	ticker := time.NewTicker(p.tick)
	ticker.Stop()
	ticking := false
	for {
		select {
		case <-done:
			ticker.Stop()
			return
		case <-p.wake:
		case <-ticker.C:
		}
		busy := p.step()
		if busy && !ticking {
			ticker.Reset(p.tick)
		}
		if !busy && ticking {
			ticker.Stop()
		}
		ticking = busy
	}
}

// step runs one tick and reports whether sessions are open.
func (p *pool) step() bool {
	p.mu.Lock()
	p.next, p.current = p.current, p.next
	p.mu.Unlock()

	p.core.Tick(time.Since(p.start), p.current, &p.out)
	p.current.Reset()

	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver()
	return len(p.sessions) > 0
}

// deliver hands the output to the sessions. The caller holds mu.
func (p *pool) deliver() {
	for _, d := range p.out.Preemptions {
		p.send(d.ID, Verdict{Kind: Preempted, Server: d.Server, Attempt: d.Attempt})
	}
	for _, g := range p.out.Grants {
		p.send(g.ID, Verdict{
			Kind: Granted, Server: g.Server, Attempt: g.Attempt,
			Priority: g.Priority, Continue: g.Continue, Reason: g.Reason,
		})
	}
	for _, r := range p.out.Refusals {
		p.send(r.ID, Verdict{Kind: Refused, Final: r.Final, Reason: r.Reason, RetryAfter: r.RetryAfter})
		delete(p.sessions, r.ID)
	}
}

func (p *pool) send(id decision.RequestID, v Verdict) {
	s, ok := p.sessions[id]
	if !ok {
		return
	}
	select {
	case s.verdicts <- v:
	default:
		// The reader is gone: give the capacity back.
		delete(p.sessions, id)
		p.next.Withdrawals = append(p.next.Withdrawals, decision.Withdrawal{ID: id})
	}
}

func sortConfig(cfg *decision.Config) {
	slices.SortFunc(cfg.Classes, func(a, b decision.Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Organisations, func(a, b decision.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Servers, func(a, b decision.Server) int { return cmp.Compare(a.Name, b.Name) })
}

func serves(models []string, model string) bool { return slices.Contains(models, model) }
