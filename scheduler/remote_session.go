package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// remoteSession is one request's tie to whichever instance schedules it. Its
// fields are guarded by the owner's mutex.
type remoteSession struct {
	owner     *Remote
	ticket    schedcore.Ticket
	submitted time.Time
	verdicts  chan Decision

	dataCentre string
	dest       *destination  // nil for this instance
	inner      Session       // at this instance
	detached   chan struct{} // closed when inner is left
	epoch      uint32

	accepted  uint32 // number of the last accepted attempt
	running   bool
	server    string
	mayHave   bool // the last attempt may have run
	delivered int
	done      bool
}

func (s *remoteSession) id() sessionID { return sessionID{ID: s.ticket.ID, Epoch: s.epoch} }

// current returns the ticket as of now: a claim if the request runs.
func (s *remoteSession) current() schedcore.Ticket {
	t := s.ticket
	elapsed := time.Since(s.submitted)
	t.Waited += elapsed
	if t.Deadline > 0 {
		t.Deadline = max(t.Deadline-elapsed, 1)
	}
	t.Attempt = s.accepted
	t.Delivered = s.delivered
	t.Server = ""
	if s.running {
		t.Server = s.server
	}
	return t
}

// attach hands the session to a scheduler. The caller holds mu.
func (s *remoteSession) attach(d *destination) {
	s.dest = d
	if d != nil {
		d.add(s)
		return
	}
	t := s.current()
	t.ID = s.id().hosted()
	inner := s.owner.opts.Local.Submit(s.owner.ctx, t)
	detached := make(chan struct{})
	s.inner, s.detached = inner, detached
	epoch := s.epoch
	s.owner.startLocked(func() { s.forward(inner, detached, epoch) })
}

// forward brings the verdicts of this instance's own pool.
func (s *remoteSession) forward(inner Session, detached <-chan struct{}, epoch uint32) {
	r := s.owner
	for {
		select {
		case v := <-inner.Decisions():
			r.mu.Lock()
			if s.epoch == epoch {
				s.accept(v)
			}
			r.mu.Unlock()
		case <-detached:
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// leave ends the stay at the present scheduler.
func (s *remoteSession) leave() {
	if s.dest != nil {
		s.dest.remove(s)
		return
	}
	close(s.detached)
}

// move changes the scheduler: a running request is claimed there, a waiting
// one is submitted again. The caller holds mu.
func (s *remoteSession) move(d *destination) {
	r := s.owner
	r.events.add(Moved)
	if s.running {
		r.events.add(Reclaimed)
	}
	s.withdraw()
	s.leave()
	s.epoch++
	s.attach(d)
}

// withdraw gives the capacity at the present scheduler back.
func (s *remoteSession) withdraw() {
	if s.dest == nil {
		s.inner.Withdraw()
		return
	}
	s.dest.reports.Withdrawals = append(s.dest.reports.Withdrawals, s.id())
	s.dest.hurry()
}

// finish closes the session. The caller holds mu.
func (s *remoteSession) finish() {
	s.leave()
	s.done = true
	delete(s.owner.sessions, s.ticket.ID)
}

// accept takes a verdict of the session's present scheduler. One grant is
// accepted for an attempt. The caller holds mu.
func (s *remoteSession) accept(v Decision) {
	if s.done {
		return
	}
	switch v.Kind {
	case Granted:
		s.acceptGrant(v)
	case Preempted:
		if !s.running || v.Attempt != s.accepted {
			s.owner.events.add(Duplicate)
			return
		}
		s.setRunning(false)
		s.push(v)
	case Refused:
		s.push(v)
		s.finish()
	case referred:
		s.refer(v.DataCentre)
	}
}

func (s *remoteSession) acceptGrant(v Decision) {
	if s.running || v.Attempt <= s.accepted {
		s.owner.events.add(Duplicate)
		return
	}
	if s.mayHave && !s.ticket.Idempotent {
		s.owner.events.add(SecondGrant)
		s.push(Decision{Kind: Refused, Final: outcome.Unknown, Reason: outcome.SchedulerLost})
		s.withdraw()
		s.finish()
		return
	}
	s.accepted = v.Attempt
	s.server = v.Server
	s.mayHave = true
	s.setRunning(true)
	s.push(v)
}

// refer moves a waiting request to another data centre's pool.
func (s *remoteSession) refer(dataCentre string) {
	if s.running || s.ticket.Referred {
		s.owner.events.add(Duplicate)
		return
	}
	s.owner.events.add(Referred)
	s.ticket.Referred = true
	s.dataCentre = dataCentre
	s.move(s.owner.route(s))
}

func (s *remoteSession) setRunning(running bool) {
	if s.dest != nil && running != s.running {
		s.dest.countWaiting(running)
	}
	s.running = running
}

// push hands a verdict to the reader. A reader that takes none is gone.
func (s *remoteSession) push(v Decision) {
	select {
	case s.verdicts <- v:
	default:
		s.withdraw()
		s.finish()
	}
}

func (s *remoteSession) Decisions() <-chan Decision { return s.verdicts }

// report runs send if the attempt is the one that runs.
func (s *remoteSession) report(attempt uint32, send func()) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if !s.done && s.running && attempt == s.accepted {
		send()
	}
}

func (s *remoteSession) FirstToken(attempt uint32, after time.Duration) {
	s.report(attempt, func() {
		if s.dest == nil {
			s.inner.FirstToken(attempt, after)
			return
		}
		s.dest.firstToken(firstTokenReport{Session: s.id(), Attempt: attempt, After: after})
	})
}

func (s *remoteSession) Progress(attempt uint32, tokens int, gap time.Duration) {
	s.report(attempt, func() {
		s.delivered += tokens
		if s.dest == nil {
			s.inner.Progress(attempt, tokens, gap)
			return
		}
		s.dest.progress(progressReport{Session: s.id(), Attempt: attempt, Tokens: tokens, Gap: gap})
	})
}

// Fail reports also an attempt that was preempted meanwhile, as a local
// session does.
func (s *remoteSession) Fail(f schedcore.Failure) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.done || f.Attempt != s.accepted {
		return
	}
	s.mayHave = !f.NotStarted
	s.delivered = max(s.delivered, f.Delivered)
	s.setRunning(false)
	if s.dest == nil {
		f.ID = s.id().hosted()
		s.inner.Fail(f)
		return
	}
	s.dest.fail(failureReport{Epoch: s.epoch, Failure: f})
}

func (s *remoteSession) Complete(e schedcore.Completion) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.done {
		return
	}
	if s.dest == nil {
		e.ID = s.id().hosted()
		s.inner.Complete(e)
	} else {
		s.dest.end(endReport{Epoch: s.epoch, End: e})
	}
	s.finish()
}

func (s *remoteSession) Withdraw() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.done {
		return
	}
	s.withdraw()
	s.finish()
}
