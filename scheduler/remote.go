package scheduler

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/rendezvous"
	"bergamotpin.example/bergamotpin/schedcore"
)

// Defaults of RemoteOptions.
const (
	DefaultBatchInterval        = 2 * time.Millisecond
	DefaultReportInterval       = 250 * time.Millisecond
	DefaultKeepaliveInterval    = 25 * time.Millisecond
	DefaultResponseTimeout      = 60 * time.Millisecond
	DefaultEntryInstanceTimeout = 5 * time.Second
)

// Membership provides the view of the live instances. It is implemented by membership.Group.
type Membership interface {
	View() *membership.View
	Changed() <-chan struct{}
}

// PoolCapacity is a pool's free capacity and the total number of slots of its
// servers.
type PoolCapacity struct {
	schedcore.FreeCapacity
	Slots int
}

// LocalScheduler schedules in this process. It is implemented by Local.
type LocalScheduler interface {
	Scheduler
	// Observe adds events to a model's pool.
	Observe(model string, add func(in *schedcore.Input))
	// SetSlotDivisor divides each server's slots by the given number, leaving
	// at least one.
	SetSlotDivisor(slotDivisor int)
	// FreeCapacities returns the free capacity of this data centre's pools, by
	// model.
	FreeCapacities() map[string]PoolCapacity
}

// RemoteOptions configures a Remote. The zero value of a duration means its
// default.
type RemoteOptions struct {
	Transport  peer.Transport
	Membership Membership
	Local      LocalScheduler
	Log        *slog.Logger

	// BatchInterval is how long messages to one instance are collected before
	// they are sent.
	BatchInterval time.Duration
	// ReportInterval is how long reports that change no decision are collected
	// before they are sent.
	ReportInterval time.Duration
	// KeepaliveInterval is the longest time between two calls to a scheduler at
	// which tickets wait. If there is nothing to send, the call is a keepalive.
	// With many such schedulers the time is longer.
	KeepaliveInterval time.Duration
	// ResponseTimeout is the shortest timeout for a response. The timeout grows
	// with the mean response time, up to a limit.
	ResponseTimeout time.Duration
	// EntryInstanceTimeout is how long a scheduler keeps the sessions of an
	// entry instance after the last message from that instance.
	EntryInstanceTimeout time.Duration
}

func (o RemoteOptions) withDefaults() RemoteOptions {
	setDefault(&o.BatchInterval, DefaultBatchInterval)
	setDefault(&o.ReportInterval, DefaultReportInterval)
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.ResponseTimeout, DefaultResponseTimeout)
	setDefault(&o.EntryInstanceTimeout, DefaultEntryInstanceTimeout)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Remote sends each ticket to the scheduler of its pool. The scheduler may be this
// instance. Remote also schedules the tickets that other instances send here. It
// is safe for concurrent use.
type Remote struct {
	opts         RemoteOptions
	processNonce uint64
	events       eventCounters
	hosting      *hostingScheduler

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	view         *membership.View
	sessions     map[schedcore.RequestID]*remoteSession
	destinations map[netip.AddrPort]*destination
	routes       map[rendezvous.Pool]*destination // nil means this instance
	standalone   bool
}

// NewRemote returns a Remote and registers its message handlers. Call Run to
// follow changes of the view.
func NewRemote(o RemoteOptions) *Remote {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Remote{
		opts:         o.withDefaults(),
		processNonce: rand.Uint64(),
		ctx:          ctx,
		cancel:       cancel,
		view:         o.Membership.View(),
		sessions:     make(map[schedcore.RequestID]*remoteSession),
		destinations: make(map[netip.AddrPort]*destination),
		routes:       make(map[rendezvous.Pool]*destination),
	}
	r.hosting = newHostingScheduler(r)
	peer.Handle(o.Transport, peer.KindTickets, r.hosting.serveTickets)
	peer.Handle(o.Transport, peer.KindCompletions, r.hosting.serveReports)
	peer.Handle(o.Transport, peer.KindDecisions, r.serveDecisions)
	peer.Handle(o.Transport, peer.KindFreeCapacity, r.serveFreeCapacity)
	return r
}

// Run follows changes of the view until ctx ends. It then withdraws the open
// sessions at their schedulers and waits for all goroutines of the Remote. Open
// sessions get no further decision.
func (r *Remote) Run(ctx context.Context) {
	r.start(r.pollFreeCapacity)
	for {
		changed := r.opts.Membership.Changed()
		r.applyView(r.opts.Membership.View())
		select {
		case <-changed:
		case <-ctx.Done():
			r.withdrawAll()
			r.stop()
			return
		}
	}
}

// withdrawAll withdraws every open session at its scheduler, so that the scheduler
// frees the session's slot. All schedulers are called at the same time, so
// withdrawAll takes no longer than the slowest call.
func (r *Remote) withdrawAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		s.withdraw()
		s.endSession()
	}
	var pendingSends sync.WaitGroup
	for _, d := range r.destinations {
		_, reports := d.takePending()
		for _, batch := range reports.split() {
			pendingSends.Go(func() {
				// If the call fails, the scheduler drops the sessions after it
				// has received nothing from this instance for
				// EntryInstanceTimeout.
				_, _ = callWithRetry[reportBatch, hostResponse](r.ctx, r, d.to, peer.KindCompletions, batch, d.responseTimeout())
			})
		}
	}
	r.mu.Unlock()
	pendingSends.Wait()
	r.mu.Lock()
}

func (r *Remote) stop() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.tasks.Wait()
}

// start runs a task in a goroutine, unless the Remote is closed. Run waits for
// the task before it returns. The caller may hold the mutex of the
// hostingScheduler but not mu.
func (r *Remote) start(task func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startLocked(task)
}

// startLocked does the same as start for a caller that holds mu.
func (r *Remote) startLocked(task func()) {
	if !r.closed {
		r.tasks.Go(task)
	}
}

// applyView adopts a new view: it moves sessions whose scheduler changed and
// drops destinations that are no longer needed.
func (r *Remote) applyView(v *membership.View) {
	r.hosting.dropAbsent(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.view
	r.view = v
	for to, d := range r.destinations {
		oldMember, _ := previous.Find(to)
		newMember, ok := v.Find(to)
		if ok && newMember.Incarnation != oldMember.Incarnation {
			d.endSkip()
		}
	}
	r.reroute()
	for to, d := range r.destinations {
		if _, ok := v.Find(to); !ok && len(d.sessions) == 0 {
			d.stop()
			delete(r.destinations, to)
		}
	}
}

// Submit queues the ticket at the scheduler of its pool.
func (r *Remote) Submit(_ context.Context, t schedcore.Ticket) Session {
	s := &remoteSession{
		owner:           r,
		ticket:          t,
		submitted:       time.Now(),
		decisions:       make(chan Decision, decisionBuffer),
		acceptedAttempt: t.Attempt,
		deliveredTokens: t.Delivered,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.dataCentre = r.view.Self.DataCentre
	r.sessions[t.ID] = s
	s.attach(r.route(s))
	return s
}

// serveDecisions accepts decisions from a scheduler. The response names the
// sessions in the batch that are not assigned to that scheduler, so that the
// scheduler frees their slots.
func (r *Remote) serveDecisions(_ context.Context, from netip.AddrPort, batch decisionBatch) (decisionResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var response decisionResponse
	for _, wire := range batch.Decisions {
		s := r.sessionAt(from, wire.Session)
		if s == nil {
			r.events.add(Superseded)
			response.UnknownSessions = append(response.UnknownSessions, wire.Session)
			continue
		}
		s.accept(wire.toDecision())
	}
	for _, id := range batch.SessionsToCheck {
		if r.sessionAt(from, id) == nil {
			response.UnknownSessions = append(response.UnknownSessions, id)
		}
	}
	return response, nil
}

// sessionAt returns the session with this ID and epoch if it is assigned to the
// scheduler at the given address, else nil. The caller holds mu.
func (r *Remote) sessionAt(from netip.AddrPort, id sessionID) *remoteSession {
	s := r.sessions[id.ID]
	if s == nil || s.epoch != id.Epoch || s.dest == nil || s.dest.to != from {
		return nil
	}
	return s
}
