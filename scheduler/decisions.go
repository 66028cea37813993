package scheduler

import (
	"context"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// decisionBatchDelay is how long decisions for one instance are collected
	// before they are sent.
	decisionBatchDelay = time.Millisecond
	// decisionRetryInterval is the pause before the next batch to an instance
	// while some decisions for it are not acknowledged yet.
	decisionRetryInterval = 20 * time.Millisecond
	// responseHold is the longest time for which a response to tickets is held
	// back to wait for decisions about these tickets.
	responseHold = 2 * time.Millisecond
	// piggybackAckTimeout applies to a decision that was sent with a response. If
	// the decision is not acknowledged within this time, it is sent again in a
	// decisionBatch.
	piggybackAckTimeout = 400 * time.Millisecond
)

// pendingDecision is a decision that is not acknowledged yet.
type pendingDecision struct {
	wireDecision
	// notBefore is the earliest time to send the decision in a decisionBatch. It
	// is set if the response to the ticket carries the decision, and zero
	// otherwise.
	notBefore time.Time
}

// isFor reports whether the decision is about the submitted ticket.
func (p pendingDecision) isFor(t submission) bool {
	return p.Session == sessionID{t.Ticket.ID, t.Epoch}
}

// forwardDecisions queues the decisions of a session's pool for the entry
// instance, until the session is closed.
func (e *entryInstance) forwardDecisions(s *hostedSession) {
	for {
		select {
		case decision := <-s.poolSession.Decisions():
			e.hosting.mu.Lock()
			e.queueDecision(s, decision)
			e.hosting.mu.Unlock()
		case <-s.closed:
			return
		case <-e.hosting.owner.ctx.Done():
			return
		}
	}
}

// run sends the queued decisions to the entry instance until the entry instance
// is dropped. It waits for the response to each batch before it sends the next
// batch, so that decisions arrive in order.
func (e *entryInstance) run() {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		wait := decisionBatchDelay
		select {
		case <-e.wake:
		case <-sweep.C:
			e.hosting.checkTimeout(e)
		case <-e.dropped:
			return
		case <-e.hosting.owner.ctx.Done():
			return
		}
		for e.sendBatch(wait) {
			wait = decisionRetryInterval
		}
	}
}

// sendBatch waits for the given pause and sends one batch of decisions and
// sessions to check. It reports whether decisions are still unacknowledged.
func (e *entryInstance) sendBatch(pause time.Duration) bool {
	h := e.hosting
	select {
	case <-time.After(pause):
	case <-e.dropped:
		return false
	case <-h.owner.ctx.Done():
		return false
	}
	batch := e.nextBatch()
	if len(batch.Decisions)+len(batch.SessionsToCheck) == 0 {
		return false
	}
	timeout := 2 * h.owner.opts.ResponseTimeout
	response, err := callWithRetry[decisionBatch, decisionResponse](h.owner.ctx, h.owner, e.address, peer.KindDecisions, batch, timeout)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		return !h.dropIfTimedOut(e)
	}
	e.lastReceived = time.Now()
	e.handleResponse(batch, response)
	return len(e.unacknowledged) > 0
}

// nextBatch returns the decisions to send now and the sessions to check: the
// sessions about which no message has arrived for EntryInstanceTimeout.
func (e *entryInstance) nextBatch() decisionBatch {
	e.hosting.mu.Lock()
	defer e.hosting.mu.Unlock()
	var out decisionBatch
	now := time.Now()
	for _, p := range e.unacknowledged {
		if len(out.Decisions) < maxDecisionsPerMessage && !now.Before(p.notBefore) {
			out.Decisions = append(out.Decisions, p.wireDecision)
		}
	}
	quietSince := now.Add(-e.hosting.owner.opts.EntryInstanceTimeout)
	for _, s := range e.sessions {
		if len(out.SessionsToCheck) < maxDecisionsPerMessage && !s.finalQueued && s.lastReceived.Before(quietSince) {
			out.SessionsToCheck = append(out.SessionsToCheck, s.id)
		}
	}
	return out
}

// handleResponse processes the response to a batch. It removes the decisions in
// the batch, the sessions that these decisions refuse or refer, and the sessions
// that the entry instance does not know.
func (e *entryInstance) handleResponse(batch decisionBatch, response decisionResponse) {
	numbers := make([]uint64, len(batch.Decisions))
	for i, decision := range batch.Decisions {
		numbers[i] = decision.Number
	}
	e.removeAcknowledged(numbers)
	for _, id := range batch.SessionsToCheck {
		e.touch(id)
	}
	for _, id := range response.UnknownSessions {
		e.hosting.owner.events.add(UnknownSession)
		e.withdraw(id)
	}
}

// removeAcknowledged removes the decisions with these numbers, and the sessions
// that these decisions refuse or refer.
func (e *entryInstance) removeAcknowledged(numbers []uint64) {
	e.unacknowledged = slices.DeleteFunc(e.unacknowledged, func(p pendingDecision) bool {
		if !slices.Contains(numbers, p.Number) {
			return false
		}
		s := e.touch(p.Session)
		if s != nil && (p.Kind == Refused || p.Kind == referred) {
			e.remove(s)
		}
		return true
	})
}

// queueDecision queues a decision. If the response to the session's ticket is
// still held back, that response carries the decision. The decision is then sent
// in a decisionBatch only if it is not acknowledged within piggybackAckTimeout.
// The caller holds mu.
func (e *entryInstance) queueDecision(s *hostedSession, decision Decision) {
	if e.sessions[s.id.ID] != s {
		return
	}
	s.finalQueued = decision.Kind == Refused || decision.Kind == referred
	p := pendingDecision{wireDecision: toWire(s.id, decision)}
	p.Number = e.hosting.nextNumber
	e.hosting.nextNumber++
	if s.openResponses > 0 && !e.hasUnacknowledged(s.id) {
		p.notBefore = time.Now().Add(piggybackAckTimeout)
		time.AfterFunc(piggybackAckTimeout, e.signal)
	} else {
		e.sendWithoutDelay(s.id)
		e.signal()
	}
	e.unacknowledged = append(e.unacknowledged, p)
	close(e.decisionQueued)
	e.decisionQueued = make(chan struct{})
}

// hasUnacknowledged reports whether the session has an unacknowledged decision.
func (e *entryInstance) hasUnacknowledged(id sessionID) bool {
	return slices.ContainsFunc(e.unacknowledged, func(p pendingDecision) bool { return p.Session == id })
}

// sendWithoutDelay makes the queued decisions of a session due at once. They then
// go out no later than the session's next decision.
func (e *entryInstance) sendWithoutDelay(id sessionID) {
	for i := range e.unacknowledged {
		if e.unacknowledged[i].Session == id {
			e.unacknowledged[i].notBefore = time.Time{}
		}
	}
}

func (e *entryInstance) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// awaitDecisions waits up to responseHold for decisions about new tickets, and
// returns the decisions that the response to the tickets is to carry. The caller
// holds mu. During the wait mu is released.
func (e *entryInstance) awaitDecisions(ctx context.Context, tickets []submission) []wireDecision {
	if len(tickets) == 0 {
		return nil
	}
	h := e.hosting
	e.adjustOpenResponses(tickets, 1)
	timer := time.NewTimer(responseHold)
	defer timer.Stop()
	for waiting := true; waiting && !e.allDecided(tickets); {
		decisionQueued := e.decisionQueued
		h.mu.Unlock()
		select {
		case <-decisionQueued:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		h.mu.Lock()
	}
	e.adjustOpenResponses(tickets, -1)
	var out []wireDecision
	for _, p := range e.unacknowledged {
		if !p.notBefore.IsZero() && slices.ContainsFunc(tickets, p.isFor) {
			out = append(out, p.wireDecision)
		}
	}
	return out
}

// adjustOpenResponses adds change to the number of open responses of each
// ticket's session.
func (e *entryInstance) adjustOpenResponses(tickets []submission, change int) {
	for _, t := range tickets {
		if s, ok := e.sessions[t.Ticket.ID]; ok {
			s.openResponses += change
		}
	}
}

// allDecided reports whether each ticket's session has a queued decision or is
// no longer hosted.
func (e *entryInstance) allDecided(tickets []submission) bool {
	for _, t := range tickets {
		id := sessionID{t.Ticket.ID, t.Epoch}
		if s, ok := e.sessions[id.ID]; ok && s.id == id && !e.hasUnacknowledged(id) {
			return false
		}
	}
	return true
}
