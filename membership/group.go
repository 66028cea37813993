package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

// ErrNotAnnounced reports that no other instance confirmed the leaving.
var ErrNotAnnounced = errors.New("membership: no instance confirmed the leaving")

// leaveTargets is how many instances are told directly of the leaving.
const leaveTargets = 5

// Group takes part in the membership. It is safe for concurrent use.
type Group struct {
	opts     Options
	counters counters
	view     atomic.Pointer[View]
	// unreached counts the heartbeat targets in a row that nobody reached.
	unreached atomic.Int32

	mu          sync.Mutex
	table       *table
	random      *rand.Rand
	changed     chan struct{}
	published   uint64
	round       []netip.AddrPort // of heartbeats still to send
	contacts    map[string]*contact
	unreachable []string
	hinted      []netip.AddrPort
	differs     map[string]time.Time // since when digests differ, by data centre
}

// New returns a group that knows of itself only and registers its handlers.
// Run starts its traffic.
func New(o Options) *Group {
	o = o.withDefaults()
	g := &Group{
		opts:     o,
		random:   rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		changed:  make(chan struct{}),
		contacts: make(map[string]*contact),
		differs:  make(map[string]time.Time),
	}
	self := record{
		Name:        o.Name,
		Address:     o.Transport.Local(),
		DataCentre:  o.DataCentre,
		Incarnation: o.Incarnation,
	}
	g.table = newTable(self, o, g.counters.add)
	g.update(func(time.Time) {})
	peer.Handle(o.Transport, peer.KindHeartbeat, g.serveHeartbeat)
	peer.Handle(o.Transport, peer.KindLeave, g.serveLeave)
	return g
}

// Run sends heartbeats until ctx ends. It returns after its goroutines ended.
func (g *Group) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { g.runHeartbeats(ctx, &tasks) })
	tasks.Go(func() { g.every(ctx, g.opts.ContactInterval, g.contactNext) })
	tasks.Go(func() { g.runJoin(ctx) })
	if g.opts.Lister != nil {
		tasks.Go(func() { g.runHints(ctx) })
	}
	tasks.Wait()
}

// View returns the current snapshot.
func (g *Group) View() *View { return g.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
// Take it before View, so that no change is missed.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// SetReady tells all instances whether this one may be given duties.
func (g *Group) SetReady(ready bool) {
	g.update(func(time.Time) {
		g.table.updateSelf(func(r *record) { r.Ready = ready })
	})
}

// Leave announces the end of this instance. It returns nil after at least one
// other instance confirmed, or if there is none; the word goes on from there.
// Heartbeats are answered until Run ends.
func (g *Group) Leave(ctx context.Context) error {
	var self record
	g.update(func(time.Time) {
		g.table.updateSelf(func(r *record) { r.Leaving = true })
		self = g.table.self
	})
	targets := g.pick(leaveTargets, netip.AddrPort{})
	if len(targets) == 0 {
		return nil
	}
	results := make(chan error, len(targets))
	for _, to := range targets {
		go func() {
			_, err := peer.Call[leave, leaveAnswer](ctx, g.opts.Transport, to, peer.KindLeave, leave{From: self})
			results <- err
		}()
	}
	confirmed := false
	for range targets {
		confirmed = <-results == nil || confirmed
	}
	if !confirmed {
		return ErrNotAnnounced
	}
	return nil
}

// update changes the table and publishes a view if anything changed.
func (g *Group) update(change func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	change(now)
	if g.view.Load() != nil && g.table.revision == g.published {
		return
	}
	g.published = g.table.revision
	g.view.Store(g.table.view(now, slices.Clone(g.unreachable)))
	close(g.changed)
	g.changed = make(chan struct{})
}

// pick returns up to n random live instances of the own data centre.
func (g *Group) pick(n int, except netip.AddrPort) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.peers(g.opts.DataCentre, func(e *entry) bool {
		return e.Condition == alive && e.Address != except
	})
	return all[:min(n, len(all))]
}

// peers returns the addresses of a data centre's instances that satisfy keep,
// in random order. The caller holds mu.
func (g *Group) peers(dataCentre string, keep func(e *entry) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range g.table.entries {
		if e.DataCentre == dataCentre && keep(e) {
			out = append(out, e.Address)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	g.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// every runs task at jittered intervals until ctx ends.
func (g *Group) every(ctx context.Context, interval time.Duration, task func(ctx context.Context)) {
	for g.sleep(ctx, interval) {
		task(ctx)
	}
}

// sleep waits for between 0.9 and 1.1 of d. It reports false if ctx ended.
func (g *Group) sleep(ctx context.Context, d time.Duration) bool {
	g.mu.Lock()
	jittered := d*9/10 + time.Duration(g.random.Int64N(int64(d/5)+1))
	g.mu.Unlock()
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
