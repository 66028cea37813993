package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// pool runs one decision core. Events are collected in the field next. At each
// tick, run swaps the fields next and current and passes the collected events to
// the core.
type pool struct {
	core *schedcore.Core
	tick time.Duration
	wake chan struct{}
	// explainQueries carries requests for the core's explain records to run,
	// since no other goroutine may use the core.
	explainQueries chan chan []schedcore.ExplainRecord
	// deferredWake signals that new events need a tick within deferredTickDelay.
	// The channel wake signals that new events need a tick at once.
	deferredWake chan struct{}

	mu           sync.Mutex
	next         *schedcore.Input
	sessions     map[schedcore.RequestID]*localSession
	lastTicket   time.Time       // when the last ticket arrived
	stats        schedcore.Stats // as of the last tick
	freeCapacity schedcore.FreeCapacity

	// The fields below are used by the goroutine of run only.
	current *schedcore.Input
	output  schedcore.Output
	start   time.Time
	// auditor is nil if decisions are not checked.
	auditor     *schedcore.Auditor
	onViolation func(v schedcore.Violation)
	// nextTick is when the timer fires, as a time since start. It is 0 if the
	// timer is stopped.
	nextTick time.Duration
}

const (
	// deferredTickDelay is the longest time from an event that calls for no
	// decision to the tick that applies the event.
	deferredTickDelay = 50 * time.Millisecond
	// minTickGap is the shortest time between two ticks, even if an event asks
	// for a tick at once.
	minTickGap = time.Millisecond
)

func newPool(core *schedcore.Core, tick time.Duration) *pool {
	return &pool{
		core:           core,
		tick:           tick,
		wake:           make(chan struct{}, 1),
		deferredWake:   make(chan struct{}, 1),
		explainQueries: make(chan chan []schedcore.ExplainRecord),
		next:           &schedcore.Input{},
		current:        &schedcore.Input{},
		sessions:       make(map[schedcore.RequestID]*localSession),
		start:          time.Now(),
	}
}

// add collects an event that may call for a decision, and asks for a tick at
// once.
func (p *pool) add(event func(in *schedcore.Input)) {
	p.enqueue(event, p.wake)
}

// addDeferred collects an event that calls for no decision, and asks for a tick
// within deferredTickDelay.
func (p *pool) addDeferred(event func(in *schedcore.Input)) {
	p.enqueue(event, p.deferredWake)
}

func (p *pool) enqueue(event func(in *schedcore.Input), signal chan struct{}) {
	p.mu.Lock()
	event(p.next)
	p.mu.Unlock()
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (p *pool) submit(t schedcore.Ticket) Session {
	s := &localSession{pool: p, id: t.ID, decisions: make(chan Decision, decisionBuffer)}
	p.add(func(in *schedcore.Input) {
		p.lastTicket = time.Now()
		in.Tickets = append(in.Tickets, t)
		p.sessions[t.ID] = s
	})
	return s
}

// run ticks when events arrive and when the core asks for it, until done is
// closed.
func (p *pool) run(done <-chan struct{}) {
	timer := time.NewTimer(p.tick)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-p.wake:
		case response := <-p.explainQueries:
			response <- p.core.ExplainRecords()
			continue
		case <-p.deferredWake:
			p.tickWithin(timer, deferredTickDelay)
			continue
		case <-timer.C:
		}
		p.runTick()
		p.scheduleNextTick(timer)
		if !pauseBetweenTicks(done) {
			return
		}
	}
}

// pauseBetweenTicks waits for minTickGap, so that one tick handles all events
// that arrive meanwhile. It reports false if done is closed.
func pauseBetweenTicks(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(minTickGap):
		return true
	}
}

// tickWithin makes the next tick happen after the duration d, unless an earlier
// tick is due.
func (p *pool) tickWithin(timer *time.Timer, d time.Duration) {
	at := time.Since(p.start) + d
	if p.nextTick == 0 || at < p.nextTick {
		p.nextTick = at
		timer.Reset(d)
	}
}

// scheduleNextTick sets the timer to the core's next wakeup, but to no earlier
// time than one tick interval from now.
func (p *pool) scheduleNextTick(timer *time.Timer) {
	p.nextTick = 0
	timer.Stop()
	at, hasWakeup := p.core.NextWakeup()
	if !hasWakeup {
		return
	}
	p.tickWithin(timer, max(at-time.Since(p.start), p.tick))
}

// runTick passes the collected events to the core and delivers the core's
// decisions to the sessions.
func (p *pool) runTick() {
	p.mu.Lock()
	p.next, p.current = p.current, p.next
	p.mu.Unlock()

	now := time.Since(p.start)
	p.core.Tick(now, p.current, &p.output)
	p.auditTick(now)
	p.current.Reset()

	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeCapacity = p.core.FreeCapacity()
	p.stats = p.core.Stats()
	p.deliverOutput()
}

// auditTick checks the decisions of the last tick and reports each violation.
func (p *pool) auditTick(now time.Duration) {
	if p.auditor == nil {
		return
	}
	for _, v := range p.auditor.Check(now, p.current, &p.output, p.core.Capacity()) {
		p.onViolation(v)
	}
}

func (p *pool) lastStats() schedcore.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// deliverOutput passes the core's decisions to the sessions. The caller holds
// mu.
func (p *pool) deliverOutput() {
	for _, d := range p.output.Preemptions {
		p.sendDecision(d.ID, Decision{Kind: Preempted, Server: d.Server, Attempt: d.Attempt})
	}
	for _, g := range p.output.Grants {
		p.sendDecision(g.ID, Decision{
			Kind: Granted, Server: g.Server, Attempt: g.Attempt,
			Priority: g.Priority, Continue: g.Continue, Reason: g.Reason,
		})
	}
	for _, r := range p.output.Refusals {
		p.sendDecision(r.ID, Decision{Kind: Refused, Final: r.Final, Reason: r.Reason, RetryAfter: r.RetryAfter})
		delete(p.sessions, r.ID)
	}
	for _, r := range p.output.Referrals {
		p.sendDecision(r.ID, Decision{Kind: referred, DataCentre: r.DataCentre})
		delete(p.sessions, r.ID)
	}
}

func (p *pool) sendDecision(id schedcore.RequestID, decision Decision) {
	s, ok := p.sessions[id]
	if !ok {
		return
	}
	select {
	case s.decisions <- decision:
	default:
		// The channel is full, so its reader is assumed to be gone. The request
		// is withdrawn to free its slot.
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
