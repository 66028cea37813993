package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// arrive takes a caller's request in at its entry instance.
func (d *driver) arrive(i int32) {
	r := &d.requests[i]
	load := &d.w.Classes[r.class]
	r.phase = phaseWaiting
	if load.Deadline > 0 {
		d.agenda.push(event{at: d.now + load.Deadline, kind: eventDeadline, request: i})
	}
	if r.leaveAfter > 0 {
		d.agenda.push(event{at: d.now + r.leaveAfter, kind: eventDeadline, request: i})
	}
	d.sendTicket(i)
}

func (d *driver) sendTicket(i int32) {
	t := d.ticket(&d.requests[i])
	d.toScheduler(event{kind: eventTicket, request: i, message: &message{ticket: t}}, networkDelay)
}

func (d *driver) ticket(r *request) schedcore.Ticket {
	load := &d.w.Classes[r.class]
	t := schedcore.Ticket{
		ID:           r.id,
		Model:        "model",
		Class:        load.Name,
		Organisation: d.w.Organisations[r.organisation].Name,
		Waited:       d.now - r.arrived,
		PromptTokens: r.prompt,
		Prefix:       r.prefix,
		PrefixTokens: r.prefixLen,
		Idempotent:   load.Idempotent,
		Delivered:    r.delivered,
		Attempt:      r.attempt,
	}
	if load.Deadline > 0 {
		t.Deadline = r.arrived + load.Deadline - d.now
	}
	if r.phase == phaseRunning {
		t.Server = d.engines[r.server].spec.Name
	}
	return t
}

// send carries a granted request to its engine.
func (d *driver) send(e *event) {
	r := &d.requests[e.request]
	if r.phase == phaseDone {
		d.toScheduler(event{kind: eventWithdrawal, request: e.request}, networkDelay)
		return
	}
	if r.phase != phaseRunning || r.attempt != e.attempt {
		return
	}
	r.sent = d.now - networkDelay
	en := d.engines[r.server]
	if en.down {
		d.fail(e.request, outcome.ServerUnreachable, true)
		return
	}
	r.mayHaveRun = true
	en.add(sequence{
		request: e.request, attempt: e.attempt, priority: int(e.epoch),
		prefix: r.prefix, prefixLen: r.prefixLen,
		prompt: r.prompt + r.delivered, left: r.answer - r.delivered,
	})
	if !en.busy {
		d.beginStep(r.server)
	}
}

// fail tells the scheduler that the request's attempt failed. The request
// waits until the scheduler decides.
func (d *driver) fail(i int32, reason outcome.Reason, notStarted bool) {
	r := &d.requests[i]
	r.phase = phaseWaiting
	f := schedcore.Failure{
		ID: r.id, Attempt: r.attempt, Reason: reason,
		NotStarted: notStarted, Delivered: r.delivered,
	}
	d.totals.failures[reason.String()]++
	d.toScheduler(event{kind: eventFailure, request: i, message: &message{failure: f}}, 2*networkDelay)
}

func (d *driver) beginStep(i int) {
	en := d.engines[i]
	took := en.begin()
	if took == 0 {
		return
	}
	d.agenda.push(event{at: d.now + took, kind: eventStep, engine: int32(i), epoch: en.epoch})
}

func (d *driver) step(e *event) {
	en := d.engines[e.engine]
	if en.down || e.epoch != en.epoch {
		return
	}
	en.finish(d.token, d.work, d.hint)
	d.beginStep(int(e.engine))
}

// work counts what an engine computed for a request, wanted or not.
func (d *driver) work(i int32, prefilled, decoded int) {
	r := &d.requests[i]
	r.prefilled += prefilled
	r.decoded += decoded
	d.totals.prefilled += prefilled
	d.totals.decoded += decoded
}

// token brings one token to the caller. Tokens of ended attempts are dropped.
func (d *driver) token(t tokenEvent) {
	r := &d.requests[t.request]
	if r.phase != phaseRunning || r.attempt != t.attempt {
		return
	}
	at := d.now + networkDelay
	r.delivered++
	r.unreported++
	if t.first {
		d.firstToken(t, r, at)
	}
	r.lastAt = at
	if t.last {
		d.complete(t, r)
		return
	}
	if r.unreported >= progressTokens {
		d.progress(t.request, at)
	}
}

func (d *driver) firstToken(t tokenEvent, r *request, at time.Duration) {
	if r.delivered == 1 {
		r.firstAt = at
		r.usefulPrompt = max(r.prompt-t.cached, 1)
	}
	r.unreported = 0
	r.lastProgress = at
	e := event{kind: eventFirstToken, request: t.request, attempt: t.attempt, duration: at - r.sent}
	d.toScheduler(e, 2*networkDelay)
}

func (d *driver) progress(i int32, at time.Duration) {
	r := &d.requests[i]
	gap := (at - r.lastProgress) / time.Duration(r.unreported)
	e := event{kind: eventProgress, request: i, attempt: r.attempt, tokens: r.unreported, duration: gap}
	d.toScheduler(e, 2*networkDelay)
	r.unreported = 0
	r.lastProgress = at
}

func (d *driver) complete(t tokenEvent, r *request) {
	d.finish(t.request, outcome.Completed, outcome.ReasonNone, r.lastAt)
	e := event{kind: eventEnd, request: t.request, attempt: t.attempt, tokens: r.answer, cached: t.cached}
	d.toScheduler(e, 2*networkDelay)
}

// finish gives the request its one final outcome.
func (d *driver) finish(i int32, final outcome.Final, reason outcome.Reason, at time.Duration) {
	r := &d.requests[i]
	r.phase = phaseDone
	r.final = final
	r.reason = reason
	r.ended = at
	d.open--
}

// deadline ends a request whose caller leaves.
func (d *driver) deadline(i int32) {
	r := &d.requests[i]
	if r.phase == phaseDone {
		return
	}
	if r.phase == phaseRunning {
		d.cancelAttempt(i)
	}
	d.finish(i, outcome.Abandoned, outcome.CallerLeft, d.now)
	d.toScheduler(event{kind: eventWithdrawal, request: i}, networkDelay)
}

// cancelAttempt stops the running attempt at its engine.
func (d *driver) cancelAttempt(i int32) {
	r := &d.requests[i]
	d.agenda.push(event{
		at: d.now + networkDelay, kind: eventCancel,
		request: i, engine: int32(r.server), attempt: r.attempt,
	})
}

func (d *driver) cancel(e *event) {
	d.engines[e.engine].cancel(e.request, e.attempt)
}

// comeBack lets a refused caller return when it was told to.
func (d *driver) comeBack(i int32, retryAfter time.Duration) {
	r := d.requests[i]
	if r.visit >= maxReturns || d.rng.Float64() >= d.w.ReturnShare {
		return
	}
	jitter := time.Duration(d.rng.Int64N(int64(returnJitter)))
	at := d.now + networkDelay + retryAfter + jitter
	if at >= d.w.lastReturn() {
		d.totals.beyondRun++
		return
	}
	back := request{
		id: newID(len(d.requests)), class: r.class, organisation: r.organisation, arrived: at,
		prompt: r.prompt, answer: r.answer, prefix: r.prefix, prefixLen: r.prefixLen,
		visit: r.visit + 1, leaveAfter: r.leaveAfter,
	}
	d.requests = append(d.requests, back)
	d.audit.grow(len(d.requests))
	d.open++
	d.totals.returned++
	d.agenda.push(event{at: at, kind: eventArrival, request: int32(len(d.requests) - 1)})
}
