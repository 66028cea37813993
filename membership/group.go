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

// ErrNotAnnounced is returned by Leave if no other instance confirmed that it
// received the announcement.
var ErrNotAnnounced = errors.New("membership: no other instance confirmed the leave announcement")

// maxLeaveTargets limits the instances to which Leave sends the announcement.
const maxLeaveTargets = 5

// Group is one instance's part in the membership protocol. It is safe for
// concurrent use.
type Group struct {
	opts     Options
	counters counters
	view     atomic.Pointer[View]
	// unreachedTargets counts consecutive heartbeat targets that neither this
	// instance nor others could reach.
	unreachedTargets atomic.Int32

	mu                  sync.Mutex
	table               *memberTable
	random              *rand.Rand
	changed             chan struct{}    // closed and replaced at each new view
	publishedRevision   uint64           // the table's revision in the current view
	pendingTargets      []netip.AddrPort // heartbeat targets left in the current round
	contacts            map[string]*contactSet
	unreachable         []string             // data centres that can't be reached
	listed              []netip.AddrPort     // addresses of the platform's list
	digestMismatchSince map[string]time.Time // when digests began to differ, by data centre
}

// New returns a group whose view holds only this instance, and registers its
// message handlers. No heartbeat is sent before Run.
func New(o Options) *Group {
	o = o.withDefaults()
	g := &Group{
		opts:                o,
		random:              rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		changed:             make(chan struct{}),
		contacts:            make(map[string]*contactSet),
		digestMismatchSince: make(map[string]time.Time),
	}
	self := record{
		Name:        o.Name,
		Address:     o.Transport.Local(),
		DataCentre:  o.DataCentre,
		Incarnation: o.Incarnation,
	}
	g.table = newMemberTable(self, o, g.counters.add)
	g.update(func(time.Time) {})
	peer.Handle(o.Transport, peer.KindHeartbeat, g.serveHeartbeat)
	peer.Handle(o.Transport, peer.KindLeave, g.serveLeave)
	return g
}

// Run takes part in the membership until ctx ends. It returns after all its
// goroutines have ended.
func (g *Group) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { g.runHeartbeats(ctx, &tasks) })
	tasks.Go(func() { g.runEvery(ctx, g.opts.ContactInterval, g.contactNextDataCentre) })
	tasks.Go(func() { g.runJoin(ctx) })
	if g.opts.Lister != nil {
		tasks.Go(func() { g.runListReader(ctx) })
	}
	tasks.Wait()
}

// View returns the current view.
func (g *Group) View() *View { return g.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
// Callers get the channel before they call View, so that they miss no change.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// SetReady tells all instances whether this instance may be given duties.
func (g *Group) SetReady(ready bool) {
	g.update(func(time.Time) {
		g.table.updateSelf(func(r *record) { r.Ready = ready })
	})
}

// Leave announces that this instance is about to stop. It tells up to
// maxLeaveTargets live instances of the local data centre, and heartbeats carry
// the announcement further. If there are live instances but none of them
// confirms, Leave returns ErrNotAnnounced. This instance responds to heartbeats
// until its transport closes.
func (g *Group) Leave(ctx context.Context) error {
	var self record
	g.update(func(time.Time) {
		g.table.updateSelf(func(r *record) { r.Leaving = true })
		self = g.table.self
	})
	targets := g.pickLive(maxLeaveTargets, netip.AddrPort{})
	if len(targets) == 0 {
		return nil
	}
	results := make(chan error, len(targets))
	for _, to := range targets {
		go func() {
			_, err := peer.Call[leaveRequest, leaveResponse](ctx, g.opts.Transport, to, peer.KindLeave, leaveRequest{From: self})
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

// update runs change on the member table and publishes a new view if the table
// changed.
func (g *Group) update(change func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	change(now)
	if g.view.Load() != nil && g.table.revision == g.publishedRevision {
		return
	}
	g.publishedRevision = g.table.revision
	g.view.Store(g.table.buildView(now, slices.Clone(g.unreachable)))
	close(g.changed)
	g.changed = make(chan struct{})
}

// pickLive returns the addresses of up to n random live instances of the local
// data centre other than except.
func (g *Group) pickLive(n int, except netip.AddrPort) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.shuffledAddresses(g.opts.DataCentre, func(e *memberEntry) bool {
		return e.Condition == alive && e.Address != except
	})
	return all[:min(n, len(all))]
}

// shuffledAddresses returns the addresses of a data centre's instances that
// satisfy keep, in random order. The caller holds mu.
func (g *Group) shuffledAddresses(dataCentre string, keep func(e *memberEntry) bool) []netip.AddrPort {
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

// runEvery runs task at jittered intervals until ctx ends.
func (g *Group) runEvery(ctx context.Context, interval time.Duration, task func(ctx context.Context)) {
	for g.sleepJittered(ctx, interval) {
		task(ctx)
	}
}

// sleepJittered waits for 0.9 to 1.1 times d. It returns false if ctx ended
// first.
func (g *Group) sleepJittered(ctx context.Context, d time.Duration) bool {
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
