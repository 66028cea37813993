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
	// numberBits leaves room for the verdicts' numbers above the first one.
	numberBits = 16
	// sweepInterval is the time between two looks for quiet sessions.
	sweepInterval = time.Second
)

// host schedules in this instance's pools for the others. It is safe for
// concurrent use.
type host struct {
	owner *Remote

	mu      sync.Mutex
	number  uint64 // of the next verdict
	entries map[netip.AddrPort]*entryInstance
}

// entryInstance is another instance whose tickets are hosted here. Its fields
// are guarded by the host's mutex.
type entryInstance struct {
	host     *host
	address  netip.AddrPort
	life     uint64
	heard    time.Time
	sessions map[schedcore.RequestID]*hostedSession
	pending  []pendingVerdict
	arrived  chan struct{} // closed at the next verdict
	wake     chan struct{}
	gone     chan struct{}
}

// hostedSession is a stay of another instance's request.
type hostedSession struct {
	id       sessionID
	inner    Session
	detached chan struct{}
	heard    time.Time
	final    bool // its last verdict is on the way
	awaited  int  // messages whose answers wait for its verdict
}

func newHost(r *Remote) *host {
	// Numbers of an earlier process at the address must not come again.
	number := uint64(rand.Uint32()) << numberBits
	return &host{owner: r, number: number, entries: make(map[netip.AddrPort]*entryInstance)}
}

// entry returns the tie to the sender. One of another process at the address is
// dropped with its sessions. The caller holds mu.
func (h *host) entry(from netip.AddrPort, life uint64) *entryInstance {
	e, ok := h.entries[from]
	if ok && e.life != life {
		h.drop(e)
		ok = false
	}
	if !ok {
		e = &entryInstance{
			host:     h,
			address:  from,
			life:     life,
			sessions: make(map[schedcore.RequestID]*hostedSession),
			arrived:  make(chan struct{}),
			wake:     make(chan struct{}, 1),
			gone:     make(chan struct{}),
		}
		h.entries[from] = e
		h.owner.start(e.run)
	}
	e.heard = time.Now()
	return e
}

// drop withdraws everything of an entry instance. The caller holds mu.
func (h *host) drop(e *entryInstance) {
	for _, s := range e.sessions {
		s.inner.Withdraw()
		close(s.detached)
	}
	clear(e.sessions)
	close(e.gone)
	delete(h.entries, e.address)
}

// follow drops entry instances that are dead or were restarted.
func (h *host) follow(v *membership.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, e := range h.entries {
		silent := time.Since(e.heard) > h.owner.opts.EntryTimeout
		if _, ok := v.Find(address); !ok && silent {
			h.owner.events.add(EntryExpired)
			h.drop(e)
		}
	}
}

func (h *host) serveTickets(ctx context.Context, from netip.AddrPort, batch ticketBatch) (hostAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entry(from, batch.Life)
	e.taken(batch.Taken)
	for _, t := range batch.Tickets {
		e.submit(t)
	}
	verdicts := e.awaitVerdicts(ctx, batch.Tickets)
	answer := e.answer()
	answer.Verdicts = verdicts
	return answer, nil
}

func (h *host) serveReports(_ context.Context, from netip.AddrPort, batch reportBatch) (hostAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entry(from, batch.Life)
	e.taken(batch.Taken)
	for _, f := range batch.FirstTokens {
		if s := e.find(f.Session); s != nil {
			s.inner.FirstToken(f.Attempt, f.After)
		}
	}
	for _, p := range batch.Progress {
		if s := e.find(p.Session); s != nil {
			s.inner.Progress(p.Attempt, p.Tokens, p.Gap)
		}
	}
	for _, f := range batch.Failures {
		if s := e.find(sessionID{f.Failure.ID, f.Epoch}); s != nil {
			f.Failure.ID = s.id.hosted()
			s.inner.Fail(f.Failure)
		}
	}
	e.close(batch)
	return e.answer(), nil
}

// close ends the sessions that the batch says are over.
func (e *entryInstance) close(batch reportBatch) {
	for _, end := range batch.Ends {
		s := e.find(sessionID{end.End.ID, end.Epoch})
		if s == nil {
			continue
		}
		end.End.ID = s.id.hosted()
		s.inner.Complete(end.End)
		e.remove(s)
	}
	for _, id := range batch.Withdrawals {
		e.withdraw(id)
	}
}

func (e *entryInstance) answer() hostAnswer {
	return hostAnswer{Life: e.host.owner.life, Held: len(e.sessions)}
}

// submit hosts a ticket unless the same stay or a later one is known.
func (e *entryInstance) submit(t submission) {
	id := sessionID{t.Ticket.ID, t.Epoch}
	if known, ok := e.sessions[id.ID]; ok {
		if known.id.Epoch >= id.Epoch {
			return
		}
		e.withdraw(known.id)
	}
	r := e.host.owner
	ticket := t.Ticket
	ticket.ID = id.hosted()
	s := &hostedSession{
		id:       id,
		inner:    r.opts.Local.Submit(r.ctx, ticket),
		detached: make(chan struct{}),
		heard:    time.Now(),
	}
	e.sessions[id.ID] = s
	r.start(func() { e.forward(s) })
}

// find returns the session of a stay and notes that it was heard of.
func (e *entryInstance) find(id sessionID) *hostedSession {
	s, ok := e.sessions[id.ID]
	if !ok || s.id != id {
		return nil
	}
	s.heard = time.Now()
	return s
}

func (e *entryInstance) remove(s *hostedSession) {
	close(s.detached)
	delete(e.sessions, s.id.ID)
}

func (e *entryInstance) withdraw(id sessionID) {
	s := e.find(id)
	if s == nil {
		return
	}
	if !s.final {
		s.inner.Withdraw()
	}
	e.remove(s)
}

// sweep drops an entry instance that was silent for too long.
func (h *host) sweep(e *entryInstance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expired(e)
}

// expired drops e if it was silent for too long. The caller holds mu.
func (h *host) expired(e *entryInstance) bool {
	if h.entries[e.address] != e {
		return true
	}
	if time.Since(e.heard) <= h.owner.opts.EntryTimeout {
		return false
	}
	if len(e.sessions) > 0 {
		h.owner.events.add(EntryExpired)
	}
	h.drop(e)
	return true
}
