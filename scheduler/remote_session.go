package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// remoteSession connects a request to the instance that schedules it. Its fields
// are guarded by the owner's mutex.
type remoteSession struct {
	owner     *Remote
	ticket    schedcore.Ticket
	submitted time.Time
	decisions chan Decision

	dataCentre      string
	dest            *destination  // nil if this instance schedules
	poolSession     Session       // set if this instance schedules
	poolSessionLeft chan struct{} // closed when this instance's pool no longer schedules the session
	epoch           uint32

	acceptedAttempt uint32 // number of the attempt granted last
	running         bool
	server          string
	mayHaveRun      bool // the last attempt may have started at its server
	deliveredTokens int
	closed          bool
}

func (s *remoteSession) id() sessionID { return sessionID{ID: s.ticket.ID, Epoch: s.epoch} }

// currentTicket returns the ticket with the present waiting time, deadline and
// delivered tokens. If the request runs, the ticket also names the server at which
// the request has its slot, and thereby claims that slot.
func (s *remoteSession) currentTicket() schedcore.Ticket {
	t := s.ticket
	elapsed := time.Since(s.submitted)
	t.Waited += elapsed
	if t.Deadline > 0 {
		t.Deadline = max(t.Deadline-elapsed, 1)
	}
	t.Attempt = s.acceptedAttempt
	t.Delivered = s.deliveredTokens
	t.Server = ""
	if s.running {
		t.Server = s.server
	}
	return t
}

// attach assigns the session to the scheduler at a destination, or to this
// instance if the destination is nil. The caller holds mu.
func (s *remoteSession) attach(d *destination) {
	s.dest = d
	if d != nil {
		d.add(s)
		return
	}
	t := s.currentTicket()
	t.ID = s.id().coreID()
	poolSession := s.owner.opts.Local.Submit(s.owner.ctx, t)
	left := make(chan struct{})
	s.poolSession, s.poolSessionLeft = poolSession, left
	epoch := s.epoch
	s.owner.startLocked(func() { s.forwardDecisions(poolSession, left, epoch) })
}

// forwardDecisions accepts the decisions of this instance's own pool until the
// pool no longer schedules the session.
func (s *remoteSession) forwardDecisions(poolSession Session, left <-chan struct{}, epoch uint32) {
	r := s.owner
	for {
		select {
		case decision := <-poolSession.Decisions():
			r.mu.Lock()
			if s.epoch == epoch {
				s.accept(decision)
			}
			r.mu.Unlock()
		case <-left:
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// leaveScheduler ends the assignment to the present scheduler. The caller holds
// mu.
func (s *remoteSession) leaveScheduler() {
	if s.dest != nil {
		s.dest.remove(s)
		return
	}
	close(s.poolSessionLeft)
}

// moveTo assigns the session to another scheduler. At that scheduler, a running
// request claims its slot, and a waiting request is submitted again. The caller
// holds mu.
func (s *remoteSession) moveTo(d *destination) {
	r := s.owner
	r.events.add(Moved)
	if s.running {
		r.events.add(Reclaimed)
	}
	s.withdraw()
	s.leaveScheduler()
	s.epoch++
	s.attach(d)
}

// withdraw withdraws the request at its present scheduler. If the request has a
// slot, the scheduler frees it. The caller holds mu.
func (s *remoteSession) withdraw() {
	if s.dest == nil {
		s.poolSession.Withdraw()
		return
	}
	s.dest.reports.Withdrawals = append(s.dest.reports.Withdrawals, s.id())
	s.dest.sendNow()
}

// endSession closes the session. The caller holds mu.
func (s *remoteSession) endSession() {
	s.leaveScheduler()
	s.closed = true
	delete(s.owner.sessions, s.ticket.ID)
}

// accept applies a decision of the session's present scheduler. It accepts one
// grant for each attempt. The caller holds mu.
func (s *remoteSession) accept(decision Decision) {
	if s.closed {
		return
	}
	switch decision.Kind {
	case Granted:
		s.acceptGrant(decision)
	case Preempted:
		if !s.running || decision.Attempt != s.acceptedAttempt {
			s.owner.events.add(Duplicate)
			return
		}
		s.setRunning(false)
		s.deliver(decision)
	case Refused:
		s.deliver(decision)
		s.endSession()
	case referred:
		s.followReferral(decision.DataCentre)
	}
}

// acceptGrant starts a granted attempt. It ignores a grant for a running request
// or an earlier attempt. If the request may have run and is not idempotent, it
// ends the request instead, with an unknown outcome.
func (s *remoteSession) acceptGrant(grant Decision) {
	if s.running || grant.Attempt <= s.acceptedAttempt {
		s.owner.events.add(Duplicate)
		return
	}
	if s.mayHaveRun && !s.ticket.Idempotent {
		s.owner.events.add(SecondGrant)
		s.deliver(Decision{Kind: Refused, Final: outcome.Unknown, Reason: outcome.SchedulerLost})
		s.withdraw()
		s.endSession()
		return
	}
	s.acceptedAttempt = grant.Attempt
	s.server = grant.Server
	s.mayHaveRun = true
	s.setRunning(true)
	s.deliver(grant)
}

// followReferral moves a waiting request to another data centre's pool. A
// request is referred at most once.
func (s *remoteSession) followReferral(dataCentre string) {
	if s.running || s.ticket.Referred {
		s.owner.events.add(Duplicate)
		return
	}
	s.owner.events.add(Referred)
	s.ticket.Referred = true
	s.dataCentre = dataCentre
	s.moveTo(s.owner.route(s))
}

func (s *remoteSession) setRunning(running bool) {
	if s.dest != nil && running != s.running {
		s.dest.updateWaiting(running)
	}
	s.running = running
}

// deliver passes a decision to the reader of Decisions. If the channel is full,
// its reader is assumed to be gone and the request is withdrawn.
func (s *remoteSession) deliver(decision Decision) {
	select {
	case s.decisions <- decision:
	default:
		s.withdraw()
		s.endSession()
	}
}

func (s *remoteSession) Decisions() <-chan Decision { return s.decisions }

// reportIfRunning calls send if the given attempt is running.
func (s *remoteSession) reportIfRunning(attempt uint32, send func()) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if !s.closed && s.running && attempt == s.acceptedAttempt {
		send()
	}
}

func (s *remoteSession) FirstToken(attempt uint32, after time.Duration) {
	s.reportIfRunning(attempt, func() {
		if s.dest == nil {
			s.poolSession.FirstToken(attempt, after)
			return
		}
		s.dest.reportFirstToken(firstTokenReport{Session: s.id(), Attempt: attempt, After: after})
	})
}

func (s *remoteSession) Progress(attempt uint32, tokens int, gap time.Duration) {
	s.reportIfRunning(attempt, func() {
		s.deliveredTokens += tokens
		if s.dest == nil {
			s.poolSession.Progress(attempt, tokens, gap)
			return
		}
		s.dest.reportProgress(progressReport{Session: s.id(), Attempt: attempt, Tokens: tokens, Gap: gap})
	})
}

// Fail reports a failed attempt. Like a localSession, it also sends the report if
// the attempt was preempted before it failed.
func (s *remoteSession) Fail(f schedcore.Failure) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.closed || f.Attempt != s.acceptedAttempt {
		return
	}
	s.mayHaveRun = !f.NotStarted
	s.deliveredTokens = max(s.deliveredTokens, f.Delivered)
	s.setRunning(false)
	if s.dest == nil {
		f.ID = s.id().coreID()
		s.poolSession.Fail(f)
		return
	}
	s.dest.reportFailure(failureReport{Epoch: s.epoch, Failure: f})
}

func (s *remoteSession) Complete(e schedcore.Completion) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.closed {
		return
	}
	if s.dest == nil {
		e.ID = s.id().coreID()
		s.poolSession.Complete(e)
	} else {
		s.dest.reportCompletion(completionReport{Epoch: s.epoch, Completion: e})
	}
	s.endSession()
}

func (s *remoteSession) Withdraw() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.closed {
		return
	}
	s.withdraw()
	s.endSession()
}
