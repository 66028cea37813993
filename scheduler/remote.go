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

// Defaults of the options.
const (
	DefaultBatchInterval     = 2 * time.Millisecond
	DefaultReportInterval    = 250 * time.Millisecond
	DefaultKeepaliveInterval = 25 * time.Millisecond
	DefaultAnswerTimeout     = 60 * time.Millisecond
	DefaultEntryTimeout      = 5 * time.Second
)

// Membership yields the live view. membership.Group does.
type Membership interface {
	View() *membership.View
	Changed() <-chan struct{}
}

// PoolCapacity is a pool's digest and the slots of its servers.
type PoolCapacity struct {
	schedcore.FreeCapacity
	Slots int
}

// LocalScheduler schedules in this process. Local does.
type LocalScheduler interface {
	Scheduler
	// Observe adds events to a model's pool.
	Observe(model string, add func(in *schedcore.Input))
	// SetSlotDivisor divides each server's slots by parts, leaving at least one.
	SetSlotDivisor(parts int)
	// FreeCapacities returns the digests of this data centre's pools, by model.
	FreeCapacities() map[string]PoolCapacity
}

// RemoteOptions sets up a Remote. The zero value of a duration takes its
// default.
type RemoteOptions struct {
	Transport  peer.Transport
	Membership Membership
	Local      LocalScheduler
	Log        *slog.Logger

	// BatchInterval is for how long messages to one instance are gathered.
	BatchInterval time.Duration
	// ReportInterval is for how long reports that change no decision are.
	ReportInterval time.Duration
	// KeepaliveInterval is the time between two signs of life of a scheduler at
	// which tickets wait.
	KeepaliveInterval time.Duration
	// AnswerTimeout bounds the wait for an answer, to which a multiple of the
	// usual time is added.
	AnswerTimeout time.Duration
	// EntryTimeout is for how long a silent entry instance's tickets are kept.
	EntryTimeout time.Duration
}

func (o RemoteOptions) withDefaults() RemoteOptions {
	setDefault(&o.BatchInterval, DefaultBatchInterval)
	setDefault(&o.ReportInterval, DefaultReportInterval)
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.AnswerTimeout, DefaultAnswerTimeout)
	setDefault(&o.EntryTimeout, DefaultEntryTimeout)
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

// Remote brings tickets to the scheduler of their pool, which may be this
// instance, and schedules for the others what they bring here. It is safe for
// concurrent use.
type Remote struct {
	opts   RemoteOptions
	life   uint64
	events events
	host   *host

	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	view         *membership.View
	sessions     map[schedcore.RequestID]*remoteSession
	destinations map[netip.AddrPort]*destination
	routes       map[rendezvous.Pool]*destination // nil is this instance
	alone        bool
}

// NewRemote registers the handlers. Run starts to follow the view.
func NewRemote(o RemoteOptions) *Remote {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Remote{
		opts:         o.withDefaults(),
		life:         rand.Uint64(),
		ctx:          ctx,
		end:          cancel,
		view:         o.Membership.View(),
		sessions:     make(map[schedcore.RequestID]*remoteSession),
		destinations: make(map[netip.AddrPort]*destination),
		routes:       make(map[rendezvous.Pool]*destination),
	}
	r.host = newHost(r)
	peer.Handle(o.Transport, peer.KindTickets, r.host.serveTickets)
	peer.Handle(o.Transport, peer.KindReports, r.host.serveReports)
	peer.Handle(o.Transport, peer.KindDecisions, r.serveVerdicts)
	peer.Handle(o.Transport, peer.KindFreeCapacity, r.servePressure)
	return r
}

// Run follows the view until ctx ends. Then it withdraws the open sessions at
// their schedulers and returns after all goroutines of the Remote ended. Open
// sessions get no further verdict.
func (r *Remote) Run(ctx context.Context) {
	r.start(r.askPressures)
	for {
		changed := r.opts.Membership.Changed()
		r.follow(r.opts.Membership.View())
		select {
		case <-changed:
		case <-ctx.Done():
			r.withdrawAll()
			r.stop()
			return
		}
	}
}

// withdrawAll gives back the capacity of every open session, without waiting
// longer than for one answer.
func (r *Remote) withdrawAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		s.withdraw()
		s.finish()
	}
	var sends sync.WaitGroup
	for _, d := range r.destinations {
		_, reports := d.take()
		for _, part := range reports.split() {
			sends.Go(func() {
				// Who does not hear of it drops the sessions of a silent instance.
				_, _ = ask[reportBatch, hostAnswer](r.ctx, r, d.to, peer.KindReports, part, d.limit())
			})
		}
	}
	r.mu.Unlock()
	sends.Wait()
	r.mu.Lock()
}

func (r *Remote) stop() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.end()
	r.tasks.Wait()
}

// start runs a task that Run waits for. The host's mutex may be held, mu may
// not.
func (r *Remote) start(task func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startLocked(task)
}

func (r *Remote) startLocked(task func()) {
	if !r.closed {
		r.tasks.Go(task)
	}
}

// follow takes a new view.
func (r *Remote) follow(v *membership.View) {
	r.host.follow(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.view
	r.view = v
	for to, d := range r.destinations {
		was, _ := before.Find(to)
		now, ok := v.Find(to)
		if ok && now.Incarnation != was.Incarnation {
			d.forgive()
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

// Submit queues the ticket at its pool's scheduler.
func (r *Remote) Submit(_ context.Context, t schedcore.Ticket) Session {
	s := &remoteSession{
		owner:     r,
		ticket:    t,
		submitted: time.Now(),
		verdicts:  make(chan Decision, verdictBuffer),
		accepted:  t.Attempt,
		delivered: t.Delivered,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.dataCentre = r.view.Self.DataCentre
	r.sessions[t.ID] = s
	s.attach(r.route(s))
	return s
}

// serveVerdicts takes the decisions of a scheduler. It names the sessions that
// are not this scheduler's, so that it gives their capacity back.
func (r *Remote) serveVerdicts(_ context.Context, from netip.AddrPort, batch verdictBatch) (verdictAnswer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var answer verdictAnswer
	for _, w := range batch.Verdicts {
		s := r.at(from, w.Session)
		if s == nil {
			r.events.add(Superseded)
			answer.Unknown = append(answer.Unknown, w.Session)
			continue
		}
		s.accept(w.verdict())
	}
	for _, id := range batch.Checks {
		if r.at(from, id) == nil {
			answer.Unknown = append(answer.Unknown, id)
		}
	}
	return answer, nil
}

// at returns the session if its scheduler is the instance at from, else nil.
func (r *Remote) at(from netip.AddrPort, id sessionID) *remoteSession {
	s := r.sessions[id.ID]
	if s == nil || s.epoch != id.Epoch || s.dest == nil || s.dest.to != from {
		return nil
	}
	return s
}
