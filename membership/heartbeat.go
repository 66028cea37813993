package membership

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// indirectTargets is how many instances are asked to reach a silent one.
	indirectTargets = 3
	// indirectFactor times the heartbeat timeout bounds the wait for them.
	indirectFactor = 3
	// hurryFactor shortens the interval after hurryAfter targets in a row were
	// not reached, so that an instance that is cut off learns it in time.
	hurryFactor = 4
	hurryAfter  = 2
	// pauseTolerance is a delay of the own timers that is no pause.
	pauseTolerance = 500 * time.Millisecond
)

// runHeartbeats sends to one instance at each interval, without waiting for
// the answer of the one before.
func (g *Group) runHeartbeats(ctx context.Context, tasks *sync.WaitGroup) {
	last := time.Now()
	for g.sleep(ctx, g.heartbeatWait()) {
		now := time.Now()
		pause := now.Sub(last) - g.opts.HeartbeatInterval
		last = now
		g.expire(pause)
		if target, ok := g.nextTarget(); ok {
			tasks.Go(func() { g.probe(ctx, target) })
		}
	}
}

func (g *Group) heartbeatWait() time.Duration {
	if g.unreached.Load() >= hurryAfter {
		return g.opts.HeartbeatInterval / hurryFactor
	}
	return g.opts.HeartbeatInterval
}

func (g *Group) expire(pause time.Duration) {
	if pause < pauseTolerance {
		pause = 0
	} else {
		g.counters.add(LocalPause)
	}
	g.update(func(now time.Time) { g.table.expire(now, pause) })
}

// nextTarget returns the next instance of the round. Each round has all
// instances of the data centre once, in a new random order.
func (g *Group) nextTarget() (record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 2 {
		for len(g.round) > 0 {
			next := g.round[0]
			g.round = g.round[1:]
			if e, ok := g.table.entries[next]; ok && e.Condition != dead {
				return e.record, true
			}
		}
		g.round = g.peers(g.opts.DataCentre, func(e *entry) bool { return e.Condition != dead })
	}
	return record{}, false
}

// probe sends a heartbeat, then asks others, and suspects an instance that
// nobody reaches.
func (g *Group) probe(ctx context.Context, target record) {
	start := time.Now()
	if g.exchange(ctx, target.Address, g.opts.HeartbeatTimeout) {
		g.unreached.Store(0)
		return
	}
	g.counters.add(HeartbeatUnanswered)
	if g.reachedByOthers(ctx, target.Address) {
		g.unreached.Store(0)
		g.counters.add(ReachedByOthers)
		return
	}
	allowed := (1+indirectFactor)*g.opts.HeartbeatTimeout + pauseTolerance
	if ctx.Err() != nil || time.Since(start) > allowed {
		return
	}
	g.unreached.Add(1)
	g.counters.add(Unreached)
	g.update(func(now time.Time) { g.table.suspect(target, now) })
}

// reachedByOthers asks a few instances, and tries once more itself.
func (g *Group) reachedByOthers(ctx context.Context, target netip.AddrPort) bool {
	timeout := indirectFactor * g.opts.HeartbeatTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	helpers := g.pick(indirectTargets, target)
	reached := make(chan bool, len(helpers)+1)
	go func() { reached <- g.exchange(ctx, target, timeout) }()
	for _, helper := range helpers {
		go func() { reached <- g.askToReach(ctx, helper, target) }()
	}
	for range len(helpers) + 1 {
		if <-reached {
			return true
		}
	}
	return false
}

func (g *Group) askToReach(ctx context.Context, helper, target netip.AddrPort) bool {
	request := g.newHeartbeat()
	request.Target = target
	answer, err := g.call(ctx, helper, request)
	return err == nil && answer.Reached
}

// exchange sends one heartbeat and takes in its answer.
func (g *Group) exchange(ctx context.Context, to netip.AddrPort, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := g.call(ctx, to, g.newHeartbeat())
	if err != nil {
		return false
	}
	if g.mustSync(answer) {
		g.sync(ctx, to)
	}
	return true
}

func (g *Group) newHeartbeat() heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	return heartbeat{From: g.table.self, Updates: g.table.updates(), Digest: g.table.digest()}
}

func (g *Group) call(ctx context.Context, to netip.AddrPort, request heartbeat) (heartbeatAnswer, error) {
	answer, err := peer.Call[heartbeat, heartbeatAnswer](ctx, g.opts.Transport, to, peer.KindHeartbeat, request)
	if err != nil {
		return answer, err
	}
	g.merge(answer.From, answer.Updates)
	return answer, nil
}

// merge takes in what another instance told. Word of the own instance comes
// first: it may show that the own verdicts are worth nothing.
func (g *Group) merge(from record, updates []record) {
	g.update(func(now time.Time) {
		for _, r := range updates {
			if r.Address == g.table.self.Address {
				g.table.apply(r, now)
			}
		}
		g.table.apply(from, now)
		// An exchange of records brings what others know.
		g.table.quiet = len(updates) > maxUpdates+1
		for _, r := range updates {
			g.table.apply(r, now)
		}
		g.table.quiet = false
	})
}

// mustSync reports whether digests have differed for long enough, or this
// instance knows nobody else.
func (g *Group) mustSync(answer heartbeatAnswer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	dataCentre := answer.From.DataCentre
	if answer.Digest == g.table.digest() {
		delete(g.differs, dataCentre)
		return false
	}
	now := time.Now()
	since, ok := g.differs[dataCentre]
	if !ok {
		g.differs[dataCentre] = now
		return len(g.table.entries) <= 1
	}
	if now.Sub(since) < g.opts.SyncDelay {
		return false
	}
	g.differs[dataCentre] = now
	return true
}

// sync exchanges the records of the data centres that differ.
func (g *Group) sync(ctx context.Context, to netip.AddrPort) {
	g.counters.add(Synchronised)
	g.mu.Lock()
	request := heartbeat{From: g.table.self, Digests: g.table.digests()}
	g.mu.Unlock()
	answer, err := g.call(ctx, to, request)
	if err != nil {
		return
	}
	g.mu.Lock()
	same := answer.Digest == g.table.digest()
	back := heartbeat{From: g.table.self, Updates: g.table.ofDataCentres(answer.Updates)}
	g.mu.Unlock()
	if !same {
		_, _ = g.call(ctx, to, back)
	}
}
