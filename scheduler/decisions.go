package scheduler

import (
	"context"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// verdictDelay is for how long verdicts to one instance are gathered.
	verdictDelay = time.Millisecond
	// verdictRetry is the time between two attempts to send verdicts.
	verdictRetry = 20 * time.Millisecond
	// answerHold is for how long the answer to tickets waits for verdicts.
	answerHold = 2 * time.Millisecond
	// offerDelay is for how long a verdict that went with an answer may stay
	// unacknowledged.
	offerDelay = 400 * time.Millisecond
)

// pendingVerdict is one that is not acknowledged yet.
type pendingVerdict struct {
	wireVerdict
	// notBefore is set if it went with the answer to its ticket.
	notBefore time.Time
}

func (p pendingVerdict) about(t submission) bool {
	return p.Session == sessionID{t.Ticket.ID, t.Epoch}
}

// forward gathers the verdicts of one session.
func (e *entryInstance) forward(s *hostedSession) {
	for {
		select {
		case v := <-s.inner.Decisions():
			e.host.mu.Lock()
			e.add(s, v)
			e.host.mu.Unlock()
		case <-s.detached:
			return
		case <-e.host.owner.ctx.Done():
			return
		}
	}
}

// run sends the verdicts in order: the next batch follows the answer to the
// one before.
func (e *entryInstance) run() {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		wait := verdictDelay
		select {
		case <-e.wake:
		case <-sweep.C:
			e.host.sweep(e)
		case <-e.gone:
			return
		case <-e.host.owner.ctx.Done():
			return
		}
		for e.send(wait) {
			wait = verdictRetry
		}
	}
}

// send sends one batch after a pause. It reports whether more is to be sent.
func (e *entryInstance) send(pause time.Duration) bool {
	h := e.host
	select {
	case <-time.After(pause):
	case <-e.gone:
		return false
	case <-h.owner.ctx.Done():
		return false
	}
	batch := e.batch()
	if len(batch.Verdicts)+len(batch.Checks) == 0 {
		return false
	}
	limit := 2 * h.owner.opts.AnswerTimeout
	answer, err := ask[verdictBatch, verdictAnswer](h.owner.ctx, h.owner, e.address, peer.KindDecisions, batch, limit)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		return !h.expired(e)
	}
	e.heard = time.Now()
	e.acknowledged(batch, answer)
	return len(e.pending) > 0
}

func (e *entryInstance) batch() verdictBatch {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()
	var out verdictBatch
	now := time.Now()
	for _, p := range e.pending {
		if len(out.Verdicts) < maxVerdicts && !now.Before(p.notBefore) {
			out.Verdicts = append(out.Verdicts, p.wireVerdict)
		}
	}
	quiet := now.Add(-e.host.owner.opts.EntryTimeout)
	for _, s := range e.sessions {
		if len(out.Checks) < maxVerdicts && !s.final && s.heard.Before(quiet) {
			out.Checks = append(out.Checks, s.id)
		}
	}
	return out
}

// acknowledged removes what was sent, and the sessions that are over or that
// the entry instance does not know.
func (e *entryInstance) acknowledged(batch verdictBatch, answer verdictAnswer) {
	numbers := make([]uint64, len(batch.Verdicts))
	for i, v := range batch.Verdicts {
		numbers[i] = v.Number
	}
	e.taken(numbers)
	for _, id := range batch.Checks {
		e.find(id)
	}
	for _, id := range answer.Unknown {
		e.host.owner.events.add(UnknownSession)
		e.withdraw(id)
	}
}

// taken removes verdicts that the entry instance has, and the sessions that
// end with them.
func (e *entryInstance) taken(numbers []uint64) {
	e.pending = slices.DeleteFunc(e.pending, func(p pendingVerdict) bool {
		if !slices.Contains(numbers, p.Number) {
			return false
		}
		s := e.find(p.Session)
		if s != nil && (p.Kind == Refused || p.Kind == referred) {
			e.remove(s)
		}
		return true
	})
}

// add queues a verdict. If the answer to its ticket is still open, the verdict
// goes with it, and in a message of its own only if it is not acknowledged.
func (e *entryInstance) add(s *hostedSession, v Decision) {
	if e.sessions[s.id.ID] != s {
		return
	}
	s.final = v.Kind == Refused || v.Kind == referred
	p := pendingVerdict{wireVerdict: wireOf(s.id, v)}
	p.Number = e.host.number
	e.host.number++
	if s.awaited > 0 && !e.hasPending(s.id) {
		p.notBefore = time.Now().Add(offerDelay)
		time.AfterFunc(offerDelay, e.signal)
	} else {
		e.release(s.id)
		e.signal()
	}
	e.pending = append(e.pending, p)
	close(e.arrived)
	e.arrived = make(chan struct{})
}

func (e *entryInstance) hasPending(id sessionID) bool {
	return slices.ContainsFunc(e.pending, func(p pendingVerdict) bool { return p.Session == id })
}

// release has a session's verdicts sent at once, so that they stay in order.
func (e *entryInstance) release(id sessionID) {
	for i := range e.pending {
		if e.pending[i].Session == id {
			e.pending[i].notBefore = time.Time{}
		}
	}
}

func (e *entryInstance) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// awaitVerdicts waits a moment for the verdicts about new tickets and returns
// those that came. The caller holds mu, which is free meanwhile.
func (e *entryInstance) awaitVerdicts(ctx context.Context, tickets []submission) []wireVerdict {
	if len(tickets) == 0 {
		return nil
	}
	h := e.host
	e.await(tickets, 1)
	timer := time.NewTimer(answerHold)
	defer timer.Stop()
	for open := true; open && !e.decided(tickets); {
		arrived := e.arrived
		h.mu.Unlock()
		select {
		case <-arrived:
		case <-timer.C:
			open = false
		case <-ctx.Done():
			open = false
		}
		h.mu.Lock()
	}
	e.await(tickets, -1)
	var out []wireVerdict
	for _, p := range e.pending {
		if !p.notBefore.IsZero() && slices.ContainsFunc(tickets, p.about) {
			out = append(out, p.wireVerdict)
		}
	}
	return out
}

func (e *entryInstance) await(tickets []submission, change int) {
	for _, t := range tickets {
		if s, ok := e.sessions[t.Ticket.ID]; ok {
			s.awaited += change
		}
	}
}

// decided reports whether each ticket's session has a verdict or is over.
func (e *entryInstance) decided(tickets []submission) bool {
	for _, t := range tickets {
		id := sessionID{t.Ticket.ID, t.Epoch}
		if s, ok := e.sessions[id.ID]; ok && s.id == id && !e.hasPending(id) {
			return false
		}
	}
	return true
}
