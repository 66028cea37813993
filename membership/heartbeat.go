package membership

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// indirectHelpers is how many other instances are asked to reach an
	// instance that did not respond.
	indirectHelpers = 3
	// An instance waits for the results of its helpers for
	// indirectTimeoutFactor times the heartbeat timeout.
	indirectTimeoutFactor = 3
	// If isolationThreshold heartbeat targets in a row could not be reached,
	// the heartbeat interval is divided by isolationSpeedup, so that an
	// isolated instance soon notices that it is isolated.
	isolationSpeedup   = 4
	isolationThreshold = 2
	// If a timer fires late by pauseTolerance or more, this process is assumed
	// to have been paused.
	pauseTolerance = 500 * time.Millisecond
)

// runHeartbeats sends a heartbeat to one instance at each interval. It does not
// wait for the response before it sends the next heartbeat.
func (g *Group) runHeartbeats(ctx context.Context, tasks *sync.WaitGroup) {
	last := time.Now()
	for g.sleepJittered(ctx, g.currentHeartbeatInterval()) {
		now := time.Now()
		pause := now.Sub(last) - g.opts.HeartbeatInterval
		last = now
		g.expireRecords(pause)
		if target, ok := g.nextTarget(); ok {
			tasks.Go(func() { g.checkTarget(ctx, target) })
		}
	}
}

func (g *Group) currentHeartbeatInterval() time.Duration {
	if g.unreachedTargets.Load() >= isolationThreshold {
		return g.opts.HeartbeatInterval / isolationSpeedup
	}
	return g.opts.HeartbeatInterval
}

// expireRecords applies the deadlines of the member table that have passed. The
// argument pause is how long this process did not run. A pause shorter than
// pauseTolerance is ignored.
func (g *Group) expireRecords(pause time.Duration) {
	if pause < pauseTolerance {
		pause = 0
	} else {
		g.counters.add(LocalPause)
	}
	g.update(func(now time.Time) { g.table.expire(now, pause) })
}

// nextTarget returns the next heartbeat target. Each round visits every instance
// of the local data centre that is not dead, in a new random order.
func (g *Group) nextTarget() (record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 2 {
		for len(g.pendingTargets) > 0 {
			next := g.pendingTargets[0]
			g.pendingTargets = g.pendingTargets[1:]
			if e, ok := g.table.entries[next]; ok && e.Condition != dead {
				return e.record, true
			}
		}
		g.pendingTargets = g.shuffledAddresses(g.opts.DataCentre, func(e *memberEntry) bool { return e.Condition != dead })
	}
	return record{}, false
}

// checkTarget sends a heartbeat to target. If target does not respond,
// checkTarget asks other instances to reach it. If none of them does, target
// becomes a suspect.
func (g *Group) checkTarget(ctx context.Context, target record) {
	start := time.Now()
	if g.exchangeHeartbeat(ctx, target.Address, g.opts.HeartbeatTimeout) {
		g.unreachedTargets.Store(0)
		return
	}
	g.counters.add(HeartbeatUnanswered)
	if g.reachedIndirectly(ctx, target.Address) {
		g.unreachedTargets.Store(0)
		g.counters.add(ReachedByOthers)
		return
	}
	maxDuration := (1+indirectTimeoutFactor)*g.opts.HeartbeatTimeout + pauseTolerance
	if ctx.Err() != nil || time.Since(start) > maxDuration {
		// Run is ending or this process was paused: the result proves nothing.
		return
	}
	g.unreachedTargets.Add(1)
	g.counters.add(Unreached)
	g.update(func(now time.Time) { g.table.suspect(target, now) })
}

// reachedIndirectly asks a few instances to reach target. At the same time it
// sends target another heartbeat itself, with a longer timeout. It reports
// whether any of these attempts succeeded.
func (g *Group) reachedIndirectly(ctx context.Context, target netip.AddrPort) bool {
	timeout := indirectTimeoutFactor * g.opts.HeartbeatTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	helpers := g.pickLive(indirectHelpers, target)
	reached := make(chan bool, len(helpers)+1)
	go func() { reached <- g.exchangeHeartbeat(ctx, target, timeout) }()
	for _, helper := range helpers {
		go func() { reached <- g.askHelper(ctx, helper, target) }()
	}
	for range len(helpers) + 1 {
		if <-reached {
			return true
		}
	}
	return false
}

// askHelper asks helper to send a heartbeat to target and reports whether
// target responded.
func (g *Group) askHelper(ctx context.Context, helper, target netip.AddrPort) bool {
	request := g.newHeartbeat()
	request.Target = target
	response, err := g.sendHeartbeat(ctx, helper, request)
	return err == nil && response.Reached
}

// exchangeHeartbeat sends one heartbeat to an address and merges the response.
// It reports whether a response arrived. If shouldSync returns true for the
// response, records are exchanged too.
func (g *Group) exchangeHeartbeat(ctx context.Context, to netip.AddrPort, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := g.sendHeartbeat(ctx, to, g.newHeartbeat())
	if err != nil {
		return false
	}
	if g.shouldSync(response) {
		g.syncRecords(ctx, to)
	}
	return true
}

func (g *Group) newHeartbeat() heartbeatRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return heartbeatRequest{From: g.table.self, Updates: g.table.takeUpdates(), Digest: g.table.digest()}
}

// sendHeartbeat sends the request and merges the records of the response.
func (g *Group) sendHeartbeat(ctx context.Context, to netip.AddrPort, request heartbeatRequest) (heartbeatResponse, error) {
	response, err := peer.Call[heartbeatRequest, heartbeatResponse](ctx, g.opts.Transport, to, peer.KindHeartbeat, request)
	if err != nil {
		return response, err
	}
	g.merge(response.From, response.Updates)
	return response, nil
}

// merge applies the records of a message. Records of this instance are applied
// first: if one of them says that this instance is dead, all dead instances are
// dropped from the table before the other records are applied.
func (g *Group) merge(from record, updates []record) {
	g.update(func(now time.Time) {
		for _, r := range updates {
			if r.Address == g.table.self.Address {
				g.table.apply(r, now)
			}
		}
		g.table.apply(from, now)
		// A heartbeat or its response has at most maxUpdates changes and one
		// record of the instance that merges it. A longer list comes from a
		// full exchange. Other instances already have the records of a full
		// exchange, so these records are not broadcast.
		g.table.suppressBroadcast = len(updates) > maxUpdates+1
		for _, r := range updates {
			g.table.apply(r, now)
		}
		g.table.suppressBroadcast = false
	})
}

// shouldSync reports whether to exchange records with the instance that sent
// response. Records are exchanged if the digests of the two instances have
// differed for SyncDelay. If this instance knows at most one other, the first
// difference is enough.
func (g *Group) shouldSync(response heartbeatResponse) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	dataCentre := response.From.DataCentre
	if response.Digest == g.table.digest() {
		delete(g.digestMismatchSince, dataCentre)
		return false
	}
	now := time.Now()
	since, ok := g.digestMismatchSince[dataCentre]
	if !ok {
		g.digestMismatchSince[dataCentre] = now
		return len(g.table.entries) <= 1
	}
	if now.Sub(since) < g.opts.SyncDelay {
		return false
	}
	g.digestMismatchSince[dataCentre] = now
	return true
}

// syncRecords exchanges with another instance the records of the data centres
// whose digests differ between the two.
func (g *Group) syncRecords(ctx context.Context, to netip.AddrPort) {
	g.counters.add(Synchronised)
	g.mu.Lock()
	request := heartbeatRequest{From: g.table.self, Digests: g.table.digests()}
	g.mu.Unlock()
	response, err := g.sendHeartbeat(ctx, to, request)
	if err != nil {
		return
	}
	g.mu.Lock()
	digestsAgree := response.Digest == g.table.digest()
	ownRecords := heartbeatRequest{From: g.table.self, Updates: g.table.recordsOfDataCentres(response.Updates)}
	g.mu.Unlock()
	if !digestsAgree {
		_, _ = g.sendHeartbeat(ctx, to, ownRecords)
	}
}
