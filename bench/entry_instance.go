package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// receiveRequest handles a request that arrives at its entry instance.
func (d *driver) receiveRequest(i int32) {
	r := &d.requests[i]
	load := &d.workload.Classes[r.class]
	r.phase = phaseWaiting
	if load.Deadline > 0 {
		d.queue.push(event{at: d.now + load.Deadline, kind: eventCallerLeaves, request: i})
	}
	if r.leaveAfter > 0 {
		d.queue.push(event{at: d.now + r.leaveAfter, kind: eventCallerLeaves, request: i})
	}
	d.sendTicket(i)
}

func (d *driver) sendTicket(i int32) {
	t := d.newTicket(&d.requests[i])
	d.sendToScheduler(event{kind: eventTicket, request: i, message: &message{ticket: t}}, networkDelay)
}

func (d *driver) newTicket(r *request) schedcore.Ticket {
	load := &d.workload.Classes[r.class]
	t := schedcore.Ticket{
		ID:           r.id,
		Model:        "model",
		Class:        load.Name,
		Organisation: d.workload.Organisations[r.organisation].Name,
		Waited:       d.now - r.arrivedAt,
		PromptTokens: r.promptTokens,
		Prefix:       r.prefix,
		PrefixTokens: r.prefixTokens,
		Idempotent:   load.Idempotent,
		Delivered:    r.deliveredTokens,
		Attempt:      r.attempt,
	}
	if load.Deadline > 0 {
		t.Deadline = r.arrivedAt + load.Deadline - d.now
	}
	if r.phase == phaseRunning {
		t.Server = d.engines[r.server].spec.Name
	}
	return t
}

// startAttempt delivers a granted request to its engine. If the request has an
// outcome already, the entry instance withdraws it instead.
func (d *driver) startAttempt(e *event) {
	r := &d.requests[e.request]
	if r.phase == phaseDone {
		d.sendToScheduler(event{kind: eventWithdrawal, request: e.request}, networkDelay)
		return
	}
	if r.phase != phaseRunning || r.attempt != e.attempt {
		return
	}
	r.sentAt = d.now - networkDelay
	eng := d.engines[r.server]
	if eng.down {
		d.failAttempt(e.request, outcome.ServerUnreachable, true)
		return
	}
	r.mayHaveRun = true
	eng.enqueue(sequence{
		request: e.request, attempt: e.attempt, priority: int(e.epoch),
		prefix: r.prefix, prefixTokens: r.prefixTokens,
		promptTokens: r.promptTokens + r.deliveredTokens, tokensLeft: r.answerTokens - r.deliveredTokens,
	})
	if !eng.busy {
		d.beginStep(r.server)
	}
}

// failAttempt reports the failure of a request's attempt to the scheduler. The
// request then waits for the scheduler's decision.
func (d *driver) failAttempt(i int32, reason outcome.Reason, notStarted bool) {
	r := &d.requests[i]
	r.phase = phaseWaiting
	f := schedcore.Failure{
		ID: r.id, Attempt: r.attempt, Reason: reason,
		NotStarted: notStarted, Delivered: r.deliveredTokens,
	}
	d.totals.failures[reason.String()]++
	d.sendToScheduler(event{kind: eventFailure, request: i, message: &message{failure: f}}, 2*networkDelay)
}

func (d *driver) beginStep(i int) {
	eng := d.engines[i]
	duration := eng.beginStep()
	if duration == 0 {
		return
	}
	d.queue.push(event{at: d.now + duration, kind: eventStepEnd, engine: int32(i), epoch: eng.epoch})
}

// finishStep ends an engine's step and begins the next. A step from before a
// crash is ignored.
func (d *driver) finishStep(e *event) {
	eng := d.engines[e.engine]
	if eng.down || e.epoch != eng.epoch {
		return
	}
	eng.finishStep(d.deliverToken, d.countWork, d.reportCacheChange)
	d.beginStep(int(e.engine))
}

// countWork counts the tokens that an engine computed for a request, useful or
// not.
func (d *driver) countWork(i int32, prefilled, decoded int) {
	r := &d.requests[i]
	r.prefilledTokens += prefilled
	r.decodedTokens += decoded
	d.totals.prefilledTokens += prefilled
	d.totals.decodedTokens += decoded
}

// deliverToken hands one token to the caller. Tokens of attempts that have
// ended are dropped.
func (d *driver) deliverToken(t tokenEvent) {
	r := &d.requests[t.request]
	if r.phase != phaseRunning || r.attempt != t.attempt {
		return
	}
	at := d.now + networkDelay
	r.deliveredTokens++
	r.unreportedTokens++
	if t.first {
		d.reportFirstToken(t, r, at)
	}
	r.lastTokenAt = at
	if t.last {
		d.completeRequest(t, r)
		return
	}
	if r.unreportedTokens >= tokensPerProgress {
		d.reportProgress(t.request, at)
	}
}

// reportFirstToken reports the first token of an attempt to the scheduler. If
// that token is also the first of the answer, its time is recorded in the
// request; an attempt that continues an answer starts with a later token.
func (d *driver) reportFirstToken(t tokenEvent, r *request, at time.Duration) {
	if r.deliveredTokens == 1 {
		r.firstTokenAt = at
		r.usefulPrefill = max(r.promptTokens-t.cachedTokens, 1)
	}
	r.unreportedTokens = 0
	r.lastProgressAt = at
	e := event{kind: eventFirstToken, request: t.request, attempt: t.attempt, duration: at - r.sentAt}
	d.sendToScheduler(e, 2*networkDelay)
}

func (d *driver) reportProgress(i int32, at time.Duration) {
	r := &d.requests[i]
	gap := (at - r.lastProgressAt) / time.Duration(r.unreportedTokens)
	e := event{kind: eventProgress, request: i, attempt: r.attempt, tokens: r.unreportedTokens, duration: gap}
	d.sendToScheduler(e, 2*networkDelay)
	r.unreportedTokens = 0
	r.lastProgressAt = at
}

func (d *driver) completeRequest(t tokenEvent, r *request) {
	d.setOutcome(t.request, outcome.Completed, outcome.ReasonNone, r.lastTokenAt)
	e := event{kind: eventCompletion, request: t.request, attempt: t.attempt, tokens: r.answerTokens, cachedTokens: t.cachedTokens}
	d.sendToScheduler(e, 2*networkDelay)
}

// setOutcome gives the request its one final outcome.
func (d *driver) setOutcome(i int32, final outcome.Final, reason outcome.Reason, at time.Duration) {
	r := &d.requests[i]
	r.phase = phaseDone
	r.final = final
	r.reason = reason
	r.endedAt = at
	d.openCount--
}

// abandonRequest ends a request as abandoned, because its caller leaves or its
// deadline passes. It does nothing if the request already has an outcome.
func (d *driver) abandonRequest(i int32) {
	r := &d.requests[i]
	if r.phase == phaseDone {
		return
	}
	if r.phase == phaseRunning {
		d.sendCancel(i)
	}
	d.setOutcome(i, outcome.Abandoned, outcome.CallerLeft, d.now)
	d.sendToScheduler(event{kind: eventWithdrawal, request: i}, networkDelay)
}

// sendCancel tells the engine to stop the request's running attempt.
func (d *driver) sendCancel(i int32) {
	r := &d.requests[i]
	d.queue.push(event{
		at: d.now + networkDelay, kind: eventCancel,
		request: i, engine: int32(r.server), attempt: r.attempt,
	})
}

func (d *driver) cancelAtEngine(e *event) {
	d.engines[e.engine].cancel(e.request, e.attempt)
}

// scheduleReturn decides at random whether a refused caller returns after its
// Retry-After time, and if so adds the caller's new request. A caller that would
// return too late for the run is only counted.
func (d *driver) scheduleReturn(i int32, retryAfter time.Duration) {
	r := d.requests[i]
	if r.returns >= maxReturns || d.rng.Float64() >= d.workload.ReturnShare {
		return
	}
	jitter := time.Duration(d.rng.Int64N(int64(maxReturnJitter)))
	at := d.now + networkDelay + retryAfter + jitter
	if at >= d.workload.lastReturn() {
		d.totals.returnsBeyondRun++
		return
	}
	returning := request{
		id: newRequestID(len(d.requests)), class: r.class, organisation: r.organisation, arrivedAt: at,
		promptTokens: r.promptTokens, answerTokens: r.answerTokens, prefix: r.prefix, prefixTokens: r.prefixTokens,
		returns: r.returns + 1, leaveAfter: r.leaveAfter,
	}
	d.requests = append(d.requests, returning)
	d.auditor.grow(len(d.requests))
	d.openCount++
	d.totals.returned++
	d.queue.push(event{at: at, kind: eventArrival, request: int32(len(d.requests) - 1)})
}
