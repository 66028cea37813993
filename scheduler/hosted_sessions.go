package scheduler

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// decisionNumberBits is the number of low bits that are 0 in the random
	// number of the first decision. Later decisions count up in these bits.
	decisionNumberBits = 16
	// sweepInterval is the time between two checks of an entry instance. Each
	// check drops the instance if it has timed out, and finds the sessions
	// without a recent message.
	sweepInterval = time.Second
)

// hostingScheduler hosts the sessions of other instances' requests in the pools
// of this instance. It is safe for concurrent use.
type hostingScheduler struct {
	owner *Remote

	mu             sync.Mutex
	nextNumber     uint64 // number of the next decision
	entryInstances map[netip.AddrPort]*entryInstance
}

// entryInstance is another instance whose sessions are hosted here. Its fields
// are guarded by the mutex of the hostingScheduler.
type entryInstance struct {
	hosting        *hostingScheduler
	address        netip.AddrPort
	processNonce   uint64
	lastReceived   time.Time
	sessions       map[schedcore.RequestID]*hostedSession
	unacknowledged []pendingDecision
	decisionQueued chan struct{} // closed and replaced when a decision is queued
	wake           chan struct{}
	dropped        chan struct{} // closed when the entry instance is dropped
}

// hostedSession is the assignment of another instance's request to this
// scheduler.
type hostedSession struct {
	id            sessionID
	poolSession   Session
	closed        chan struct{}
	lastReceived  time.Time
	finalQueued   bool // a refusal or a referral is queued or sent
	openResponses int  // number of responses to tickets that wait for this session's decision
}

func newHostingScheduler(r *Remote) *hostingScheduler {
	// The first number is random, so that this process does not use the numbers
	// of an earlier process at this address.
	nextNumber := uint64(rand.Uint32()) << decisionNumberBits
	return &hostingScheduler{owner: r, nextNumber: nextNumber, entryInstances: make(map[netip.AddrPort]*entryInstance)}
}

// entryInstanceAt returns the state of the entry instance at an address, and
// creates the state if needed. If the nonce belongs to another process than
// before, the old state and its sessions are dropped first. The caller holds mu.
func (h *hostingScheduler) entryInstanceAt(from netip.AddrPort, processNonce uint64) *entryInstance {
	e, ok := h.entryInstances[from]
	if ok && e.processNonce != processNonce {
		h.dropEntryInstance(e)
		ok = false
	}
	if !ok {
		e = &entryInstance{
			hosting:        h,
			address:        from,
			processNonce:   processNonce,
			sessions:       make(map[schedcore.RequestID]*hostedSession),
			decisionQueued: make(chan struct{}),
			wake:           make(chan struct{}, 1),
			dropped:        make(chan struct{}),
		}
		h.entryInstances[from] = e
		h.owner.start(e.run)
	}
	e.lastReceived = time.Now()
	return e
}

// dropEntryInstance withdraws all requests of an entry instance and removes the
// instance's state. The caller holds mu.
func (h *hostingScheduler) dropEntryInstance(e *entryInstance) {
	for _, s := range e.sessions {
		s.poolSession.Withdraw()
		close(s.closed)
	}
	clear(e.sessions)
	close(e.dropped)
	delete(h.entryInstances, e.address)
}

// dropAbsent drops entry instances that are missing from the view and from
// which nothing has arrived for longer than EntryInstanceTimeout.
func (h *hostingScheduler) dropAbsent(v *membership.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, e := range h.entryInstances {
		timedOut := time.Since(e.lastReceived) > h.owner.opts.EntryInstanceTimeout
		if _, ok := v.Find(address); !ok && timedOut {
			h.owner.events.add(EntryInstanceTimedOut)
			h.dropEntryInstance(e)
		}
	}
}

func (h *hostingScheduler) serveTickets(ctx context.Context, from netip.AddrPort, batch ticketBatch) (hostResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entryInstanceAt(from, batch.ProcessNonce)
	e.removeAcknowledged(batch.AckedDecisions)
	for _, t := range batch.Tickets {
		e.submit(t)
	}
	decisions := e.awaitDecisions(ctx, batch.Tickets)
	response := e.response()
	response.Decisions = decisions
	return response, nil
}

func (h *hostingScheduler) serveReports(_ context.Context, from netip.AddrPort, batch reportBatch) (hostResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entryInstanceAt(from, batch.ProcessNonce)
	e.removeAcknowledged(batch.AckedDecisions)
	for _, f := range batch.FirstTokens {
		if s := e.touch(f.Session); s != nil {
			s.poolSession.FirstToken(f.Attempt, f.After)
		}
	}
	for _, p := range batch.Progress {
		if s := e.touch(p.Session); s != nil {
			s.poolSession.Progress(p.Attempt, p.Tokens, p.Gap)
		}
	}
	for _, f := range batch.Failures {
		if s := e.touch(sessionID{f.Failure.ID, f.Epoch}); s != nil {
			f.Failure.ID = s.id.coreID()
			s.poolSession.Fail(f.Failure)
		}
	}
	e.close(batch)
	return e.response(), nil
}

// close removes the sessions that the batch reports as completed or withdrawn.
func (e *entryInstance) close(batch reportBatch) {
	for _, report := range batch.Completions {
		s := e.touch(sessionID{report.Completion.ID, report.Epoch})
		if s == nil {
			continue
		}
		report.Completion.ID = s.id.coreID()
		s.poolSession.Complete(report.Completion)
		e.remove(s)
	}
	for _, id := range batch.Withdrawals {
		e.withdraw(id)
	}
}

func (e *entryInstance) response() hostResponse {
	return hostResponse{ProcessNonce: e.hosting.owner.processNonce, HostedSessions: len(e.sessions)}
}

// submit hosts a session for a ticket, unless a session with the same or a later
// epoch of the request is hosted already.
func (e *entryInstance) submit(t submission) {
	id := sessionID{t.Ticket.ID, t.Epoch}
	if existing, ok := e.sessions[id.ID]; ok {
		if existing.id.Epoch >= id.Epoch {
			return
		}
		e.withdraw(existing.id)
	}
	r := e.hosting.owner
	ticket := t.Ticket
	ticket.ID = id.coreID()
	s := &hostedSession{
		id:           id,
		poolSession:  r.opts.Local.Submit(r.ctx, ticket),
		closed:       make(chan struct{}),
		lastReceived: time.Now(),
	}
	e.sessions[id.ID] = s
	r.start(func() { e.forwardDecisions(s) })
}

// touch returns the session of an assignment, and records the current time as that
// of the last message about the session. It returns nil if the assignment is not
// hosted here.
func (e *entryInstance) touch(id sessionID) *hostedSession {
	s, ok := e.sessions[id.ID]
	if !ok || s.id != id {
		return nil
	}
	s.lastReceived = time.Now()
	return s
}

// remove ends a session without a withdrawal at its pool.
func (e *entryInstance) remove(s *hostedSession) {
	close(s.closed)
	delete(e.sessions, s.id.ID)
}

// withdraw removes a session, and withdraws its request at the pool unless the
// request was refused or referred.
func (e *entryInstance) withdraw(id sessionID) {
	s := e.touch(id)
	if s == nil {
		return
	}
	if !s.finalQueued {
		s.poolSession.Withdraw()
	}
	e.remove(s)
}

// checkTimeout drops an entry instance from which nothing has arrived for
// longer than EntryInstanceTimeout.
func (h *hostingScheduler) checkTimeout(e *entryInstance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropIfTimedOut(e)
}

// dropIfTimedOut drops e if nothing has arrived from it for longer than
// EntryInstanceTimeout, and reports whether e is dropped. The caller holds mu.
func (h *hostingScheduler) dropIfTimedOut(e *entryInstance) bool {
	if h.entryInstances[e.address] != e {
		return true
	}
	if time.Since(e.lastReceived) <= h.owner.opts.EntryInstanceTimeout {
		return false
	}
	if len(e.sessions) > 0 {
		h.owner.events.add(EntryInstanceTimedOut)
	}
	h.dropEntryInstance(e)
	return true
}
