package bench

import (
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// deliverToScheduler adds a message to the scheduler's next input. The message
// is lost if no scheduler runs.
func (d *driver) deliverToScheduler(e *event) {
	if d.schedulerDown {
		return
	}
	switch e.kind {
	case eventLoadReport:
		d.in.LoadReports = append(d.in.LoadReports, e.message.loadReport)
		return
	case eventCacheHint:
		d.in.CacheHints = append(d.in.CacheHints, e.message.cacheHint)
		return
	}
	d.deliverRequestMessage(e)
}

// deliverRequestMessage adds a message about one request to the scheduler's next
// input, and records it in the auditor if it changes the request's state.
func (d *driver) deliverRequestMessage(e *event) {
	id := d.requests[e.request].id
	switch e.kind {
	case eventTicket:
		d.in.Tickets = append(d.in.Tickets, e.message.ticket)
		running := e.message.ticket.Server != ""
		d.auditor.addTicket(e.request, &d.requests[e.request], running, d.now)
	case eventFirstToken:
		f := schedcore.FirstToken{ID: id, Attempt: e.attempt, After: e.duration}
		d.in.FirstTokens = append(d.in.FirstTokens, f)
	case eventProgress:
		p := schedcore.Progress{ID: id, Attempt: e.attempt, Tokens: e.tokens, Gap: e.duration}
		d.in.Progress = append(d.in.Progress, p)
	case eventCompletion:
		completion := schedcore.Completion{
			ID: id, Attempt: e.attempt, Tokens: e.tokens, CachedTokens: e.cachedTokens,
			PromptTokens: d.requests[e.request].promptTokens,
		}
		d.in.Completions = append(d.in.Completions, completion)
		d.auditor.attemptCompleted(e.request)
	case eventFailure:
		d.in.Failures = append(d.in.Failures, e.message.failure)
		d.auditor.attemptFailed(e.request, d.now)
	case eventWithdrawal:
		d.in.Withdrawals = append(d.in.Withdrawals, schedcore.Withdrawal{ID: id})
		d.auditor.requestEnded(e.request)
	}
}

// tick runs the scheduler once, checks its decisions and carries them out.
func (d *driver) tick() {
	d.queue.push(event{at: d.now + tickInterval, kind: eventTick})
	if d.schedulerDown {
		return
	}
	d.scheduler.Tick(d.now, &d.in, &d.out)
	d.in.Reset()
	d.auditor.checkTick(d.requests, &d.out, d.now)
	for _, g := range d.out.Grants {
		d.applyGrant(g)
	}
	for _, p := range d.out.Preemptions {
		d.applyPreemption(p)
	}
	for _, r := range d.out.Refusals {
		d.applyRefusal(r)
	}
	d.totals.referrals += len(d.out.Referrals)
}

// applyGrant sends a granted request to its engine. If the request has an
// outcome already, the entry instance withdraws it instead.
func (d *driver) applyGrant(g schedcore.Grant) {
	i := requestIndex(g.ID)
	r := &d.requests[i]
	server, known := d.engineIndex[g.Server]
	if !known {
		d.auditor.violations["grant_to_unknown_server"]++
		return
	}
	if r.phase == phaseDone {
		d.sendToScheduler(event{kind: eventWithdrawal, request: i}, 2*networkDelay)
		return
	}
	if !r.everGranted {
		r.firstGrantAt = d.now
	}
	r.everGranted = true
	r.phase = phaseRunning
	r.attempt = g.Attempt
	r.server = server
	if !g.Continue {
		r.deliveredTokens = 0
	}
	d.queue.push(event{
		at: d.now + 2*networkDelay, kind: eventStartAttempt,
		request: i, attempt: g.Attempt, epoch: uint32(g.Priority),
	})
}

// applyPreemption cancels the preempted attempt, unless the attempt has already
// ended. The request then waits again.
func (d *driver) applyPreemption(p schedcore.Preemption) {
	d.totals.preemptions++
	i := requestIndex(p.ID)
	r := &d.requests[i]
	if r.phase != phaseRunning || r.attempt != p.Attempt {
		return
	}
	d.sendCancel(i)
	r.phase = phaseWaiting
}

// applyRefusal gives a refused request its outcome. Its caller may return.
func (d *driver) applyRefusal(refusal schedcore.Refusal) {
	i := requestIndex(refusal.ID)
	r := &d.requests[i]
	if r.phase == phaseDone {
		return
	}
	if r.phase == phaseRunning {
		d.sendCancel(i)
	}
	d.setOutcome(i, refusal.Final, refusal.Reason, d.now+networkDelay)
	if refusal.Final == outcome.Refused {
		d.totals.refusals++
		d.totals.retryAfterSum += refusal.RetryAfter
		d.scheduleReturn(i, refusal.RetryAfter)
	}
}

// startFault makes a fault take effect.
func (d *driver) startFault(f Fault) {
	switch f.Kind {
	case EngineCrash:
		for _, s := range d.engines[f.Engine].crash() {
			d.cutStream(s)
		}
	case ReportOutage:
		d.reportsDown = true
	case SchedulerLoss:
		d.schedulerDown = true
		d.in.Reset()
	}
}

// cutStream fails an attempt that an engine lost in a crash, if the attempt is
// still the running attempt of its request.
func (d *driver) cutStream(s sequence) {
	r := &d.requests[s.request]
	if r.phase == phaseRunning && r.attempt == s.attempt {
		d.failAttempt(s.request, outcome.StreamCut, false)
	}
}

// endFault ends the effect of a fault.
func (d *driver) endFault(f Fault) {
	switch f.Kind {
	case EngineCrash:
		d.engines[f.Engine].down = false
	case ReportOutage:
		d.reportsDown = false
	case SchedulerLoss:
		d.replaceScheduler()
	}
}

// replaceScheduler starts a new scheduler without state. Entry instances
// resubmit their waiting requests, and claim capacity for the running ones.
func (d *driver) replaceScheduler() {
	d.schedulerDown = false
	d.scheduler = d.policy.New(d.seed + 1)
	d.in.Reset()
	d.in.Config = d.schedulerConfig()
	d.auditor.reset(d.now)
	for i := range d.requests {
		d.resubmit(int32(i))
	}
}

// resubmit sends a request's ticket to a new scheduler. If the request waits,
// may have run and isn't idempotent, it ends with an unknown outcome instead.
func (d *driver) resubmit(i int32) {
	r := &d.requests[i]
	if r.phase == phaseNew || r.phase == phaseDone {
		return
	}
	uncertain := r.phase == phaseWaiting && r.mayHaveRun && !d.workload.Classes[r.class].Idempotent
	if uncertain {
		d.setOutcome(i, outcome.Unknown, outcome.SchedulerLost, d.now)
		return
	}
	d.sendTicket(i)
}
