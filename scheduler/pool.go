package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// pool runs one decision core. Events gather in next until the loop swaps the
// two inputs and ticks.
type pool struct {
	core *schedcore.Core
	tick time.Duration
	wake chan struct{}
	// queries asks the loop for the core's explain records.
	queries chan chan []schedcore.ExplainRecord
	// inform says that events came which can wait for informDelay.
	inform chan struct{}

	mu         sync.Mutex
	next       *schedcore.Input
	sessions   map[schedcore.RequestID]*localSession
	lastTicket time.Time       // when the last ticket came
	stats      schedcore.Stats // after the last tick
	pressure   schedcore.FreeCapacity

	// Owned by the loop.
	current *schedcore.Input
	out     schedcore.Output
	start   time.Time
	// auditor is nil if nothing is checked.
	auditor *schedcore.Auditor
	audit   func(v schedcore.Violation)
	// nextTick is when the timer fires, since start, or 0.
	nextTick time.Duration
}

const (
	// informDelay bounds how long events wait that only inform.
	informDelay = 50 * time.Millisecond
	// minPause is the time between two ticks at the least.
	minPause = time.Millisecond
)

func newPool(core *schedcore.Core, tick time.Duration) *pool {
	return &pool{
		core:     core,
		tick:     tick,
		wake:     make(chan struct{}, 1),
		inform:   make(chan struct{}, 1),
		queries:  make(chan chan []schedcore.ExplainRecord),
		next:     &schedcore.Input{},
		current:  &schedcore.Input{},
		sessions: make(map[schedcore.RequestID]*localSession),
		start:    time.Now(),
	}
}

// add gathers events that may change a decision, for a tick at once.
func (p *pool) add(event func(in *schedcore.Input)) {
	p.gather(event, p.wake)
}

// addLater gathers events that only inform, for a tick within informDelay.
func (p *pool) addLater(event func(in *schedcore.Input)) {
	p.gather(event, p.inform)
}

func (p *pool) gather(event func(in *schedcore.Input), signal chan struct{}) {
	p.mu.Lock()
	event(p.next)
	p.mu.Unlock()
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (p *pool) submit(t schedcore.Ticket) Session {
	s := &localSession{pool: p, id: t.ID, verdicts: make(chan Decision, verdictBuffer)}
	p.add(func(in *schedcore.Input) {
		p.lastTicket = time.Now()
		in.Tickets = append(in.Tickets, t)
		p.sessions[t.ID] = s
	})
	return s
}

// run ticks at events, and when the core asks for it.
func (p *pool) run(done <-chan struct{}) {
	timer := time.NewTimer(p.tick)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-p.wake:
		case answer := <-p.queries:
			answer <- p.core.ExplainRecords()
			continue
		case <-p.inform:
			p.due(timer, informDelay)
			continue
		case <-timer.C:
		}
		p.step()
		p.rearm(timer)
		if !rest(done) {
			return
		}
	}
}

// rest lets events gather for a moment. It reports false at the end.
func rest(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(minPause):
		return true
	}
}

// due brings the next tick forward to within d.
func (p *pool) due(timer *time.Timer, d time.Duration) {
	at := time.Since(p.start) + d
	if p.nextTick == 0 || at < p.nextTick {
		p.nextTick = at
		timer.Reset(d)
	}
}

// rearm sets the timer to the time that the core asks for.
func (p *pool) rearm(timer *time.Timer) {
	p.nextTick = 0
	timer.Stop()
	at, needed := p.core.NextWakeup()
	if !needed {
		return
	}
	p.due(timer, max(at-time.Since(p.start), p.tick))
}

// step runs one tick.
func (p *pool) step() {
	p.mu.Lock()
	p.next, p.current = p.current, p.next
	p.mu.Unlock()

	now := time.Since(p.start)
	p.core.Tick(now, p.current, &p.out)
	p.check(now)
	p.current.Reset()

	p.mu.Lock()
	defer p.mu.Unlock()
	p.pressure = p.core.FreeCapacity()
	p.stats = p.core.Stats()
	p.deliver()
}

// check audits the last tick.
func (p *pool) check(now time.Duration) {
	if p.auditor == nil {
		return
	}
	for _, v := range p.auditor.Check(now, p.current, &p.out, p.core.Capacity()) {
		p.audit(v)
	}
}

func (p *pool) lastStats() schedcore.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// deliver hands the output to the sessions. The caller holds mu.
func (p *pool) deliver() {
	for _, d := range p.out.Preemptions {
		p.send(d.ID, Decision{Kind: Preempted, Server: d.Server, Attempt: d.Attempt})
	}
	for _, g := range p.out.Grants {
		p.send(g.ID, Decision{
			Kind: Granted, Server: g.Server, Attempt: g.Attempt,
			Priority: g.Priority, Continue: g.Continue, Reason: g.Reason,
		})
	}
	for _, r := range p.out.Refusals {
		p.send(r.ID, Decision{Kind: Refused, Final: r.Final, Reason: r.Reason, RetryAfter: r.RetryAfter})
		delete(p.sessions, r.ID)
	}
	for _, r := range p.out.Referrals {
		p.send(r.ID, Decision{Kind: referred, DataCentre: r.DataCentre})
		delete(p.sessions, r.ID)
	}
}

func (p *pool) send(id schedcore.RequestID, v Decision) {
	s, ok := p.sessions[id]
	if !ok {
		return
	}
	select {
	case s.verdicts <- v:
	default:
		// The reader is gone: give the capacity back.
		delete(p.sessions, id)
		p.next.Withdrawals = append(p.next.Withdrawals, schedcore.Withdrawal{ID: id})
	}
}

func sortConfig(cfg *schedcore.Config) {
	slices.SortFunc(cfg.Classes, func(a, b schedcore.Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Organisations, func(a, b schedcore.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Servers, func(a, b schedcore.Server) int { return cmp.Compare(a.Name, b.Name) })
}

func serves(models []string, model string) bool { return slices.Contains(models, model) }
