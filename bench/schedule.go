package bench

import (
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// deliver hands a message to the scheduler, or loses it if there is none.
func (d *driver) deliver(e *event) {
	if d.schedulerDown {
		return
	}
	switch e.kind {
	case eventReport:
		d.in.LoadReports = append(d.in.LoadReports, e.message.report)
		return
	case eventHint:
		d.in.CacheHints = append(d.in.CacheHints, e.message.hint)
		return
	}
	d.deliverRequest(e)
}

func (d *driver) deliverRequest(e *event) {
	id := d.requests[e.request].id
	switch e.kind {
	case eventTicket:
		d.in.Tickets = append(d.in.Tickets, e.message.ticket)
		running := e.message.ticket.Server != ""
		d.audit.ticket(e.request, &d.requests[e.request], running, d.now)
	case eventFirstToken:
		f := schedcore.FirstToken{ID: id, Attempt: e.attempt, After: e.duration}
		d.in.FirstTokens = append(d.in.FirstTokens, f)
	case eventProgress:
		p := schedcore.Progress{ID: id, Attempt: e.attempt, Tokens: e.tokens, Gap: e.duration}
		d.in.Progress = append(d.in.Progress, p)
	case eventEnd:
		end := schedcore.Completion{
			ID: id, Attempt: e.attempt, Tokens: e.tokens, CachedTokens: e.cached,
			PromptTokens: d.requests[e.request].prompt,
		}
		d.in.Completions = append(d.in.Completions, end)
		d.audit.ended(e.request)
	case eventFailure:
		d.in.Failures = append(d.in.Failures, e.message.failure)
		d.audit.failed(e.request, d.now)
	case eventWithdrawal:
		d.in.Withdrawals = append(d.in.Withdrawals, schedcore.Withdrawal{ID: id})
		d.audit.gone(e.request)
	}
}

// tick runs the decider once and carries out what it decided.
func (d *driver) tick() {
	d.agenda.push(event{at: d.now + tickEvery, kind: eventTick})
	if d.schedulerDown {
		return
	}
	d.decider.Tick(d.now, &d.in, &d.out)
	d.in.Reset()
	d.audit.check(d.requests, &d.out, d.now)
	for _, g := range d.out.Grants {
		d.grant(g)
	}
	for _, p := range d.out.Preemptions {
		d.preempt(p)
	}
	for _, r := range d.out.Refusals {
		d.refuse(r)
	}
	d.totals.referrals += len(d.out.Referrals)
}

func (d *driver) grant(g schedcore.Grant) {
	i := indexOf(g.ID)
	r := &d.requests[i]
	server, known := d.byName[g.Server]
	if !known {
		d.audit.violations["grant_to_unknown_server"]++
		return
	}
	if r.phase == phaseDone {
		d.toScheduler(event{kind: eventWithdrawal, request: i}, 2*networkDelay)
		return
	}
	if !r.everGranted {
		r.granted = d.now
	}
	r.everGranted = true
	r.phase = phaseRunning
	r.attempt = g.Attempt
	r.server = server
	if !g.Continue {
		r.delivered = 0
	}
	d.agenda.push(event{
		at: d.now + 2*networkDelay, kind: eventSend,
		request: i, attempt: g.Attempt, epoch: uint32(g.Priority),
	})
}

func (d *driver) preempt(p schedcore.Preemption) {
	d.totals.preemptions++
	i := indexOf(p.ID)
	r := &d.requests[i]
	if r.phase != phaseRunning || r.attempt != p.Attempt {
		return
	}
	d.cancelAttempt(i)
	r.phase = phaseWaiting
}

func (d *driver) refuse(f schedcore.Refusal) {
	i := indexOf(f.ID)
	r := &d.requests[i]
	if r.phase == phaseDone {
		return
	}
	if r.phase == phaseRunning {
		d.cancelAttempt(i)
	}
	d.finish(i, f.Final, f.Reason, d.now+networkDelay)
	if f.Final == outcome.Refused {
		d.totals.refusals++
		d.totals.retryAfter += f.RetryAfter
		d.comeBack(i, f.RetryAfter)
	}
}

// startFault begins a fault.
func (d *driver) startFault(f Fault) {
	switch f.Kind {
	case EngineCrash:
		for _, s := range d.engines[f.Engine].crash() {
			d.cut(s)
		}
	case ReportsStop:
		d.reportsDown = true
	case SchedulerLost:
		d.schedulerDown = true
		d.in.Reset()
	}
}

// cut ends an attempt that its engine lost.
func (d *driver) cut(s sequence) {
	r := &d.requests[s.request]
	if r.phase == phaseRunning && r.attempt == s.attempt {
		d.fail(s.request, outcome.StreamCut, false)
	}
}

// endFault ends a fault.
func (d *driver) endFault(f Fault) {
	switch f.Kind {
	case EngineCrash:
		d.engines[f.Engine].down = false
	case ReportsStop:
		d.reportsDown = false
	case SchedulerLost:
		d.replaceScheduler()
	}
}

// replaceScheduler starts a fresh decider. Entry instances send it all their
// waiting requests, and claims for the running ones.
func (d *driver) replaceScheduler() {
	d.schedulerDown = false
	d.decider = d.policy.New(d.seed + 1)
	d.in.Reset()
	d.in.Config = d.config()
	d.audit.forget(d.now)
	for i := range d.requests {
		d.resend(int32(i))
	}
}

func (d *driver) resend(i int32) {
	r := &d.requests[i]
	if r.phase == phaseNew || r.phase == phaseDone {
		return
	}
	lost := r.phase == phaseWaiting && r.mayHaveRun && !d.w.Classes[r.class].Idempotent
	if lost {
		d.finish(i, outcome.Unknown, outcome.SchedulerLost, d.now)
		return
	}
	d.sendTicket(i)
}
