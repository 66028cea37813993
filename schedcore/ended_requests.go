package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Values of Core.byID for requests that ended.
const (
	markEnded    int32 = -1
	markReferred int32 = -2
)

const (
	// endedLifetime is how long an ended request is remembered, so that late
	// events and duplicate tickets have no effect.
	endedLifetime = 2 * time.Minute
	// maxEndedRequests limits the remembered requests.
	maxEndedRequests = 1 << 16
	// minEndedCapacity is the initial capacity of endedRing.
	minEndedCapacity = 1 << 10
)

type endedRequest struct {
	id RequestID
	at time.Duration
}

// endedRing is a queue of ended requests, oldest first.
type endedRing struct {
	entries []endedRequest
	first   int // index of the oldest entry
	count   int
}

func (r *endedRing) push(e endedRequest) {
	if r.count == len(r.entries) {
		r.grow()
	}
	r.entries[(r.first+r.count)%len(r.entries)] = e
	r.count++
}

func (r *endedRing) grow() {
	bigger := make([]endedRequest, max(2*len(r.entries), minEndedCapacity))
	for i := range r.count {
		bigger[i] = r.entries[(r.first+i)%len(r.entries)]
	}
	r.entries = bigger
	r.first = 0
}

func (r *endedRing) pop() endedRequest {
	e := r.entries[r.first]
	r.first = (r.first + 1) % len(r.entries)
	r.count--
	return e
}

// rememberEnded stores markEnded or markReferred for an ended request, so that late
// events and duplicate tickets have no effect. If maxEndedRequests
// requests are stored, rememberEnded forgets the request that ended first.
func (c *Core) rememberEnded(id RequestID, mark int32) {
	if c.ended.count == maxEndedRequests {
		c.forgetOldestEnded()
	}
	c.byID[id] = mark
	c.ended.push(endedRequest{id: id, at: c.now})
}

// forgetOldestEnded forgets the request that ended first.
func (c *Core) forgetOldestEnded() {
	e := c.ended.pop()
	if i, ok := c.byID[e.id]; ok && i < 0 {
		delete(c.byID, e.id)
	}
}

// close ends a request that is in no queue and not running.
func (c *Core) close(i int32) {
	c.rememberEnded(c.requests[i].ticket.ID, markEnded)
	c.freeRequest(i)
}

// refuse ends a request that is in no queue and not running, and adds the
// refusal to out.
func (c *Core) refuse(i int32, reason outcome.Reason, out *Output) {
	r := &c.requests[i]
	final := outcome.Refused
	if r.mayHaveStarted {
		final = outcome.Unknown
	}
	out.Refusals = append(out.Refusals, Refusal{
		ID:         r.ticket.ID,
		Final:      final,
		Reason:     reason,
		RetryAfter: c.retryAfter(r, reason),
	})
	c.stats.Refusals[reason]++
	if final == outcome.Unknown {
		c.stats.UnknownOutcomes++
	}
	c.explainReason(r, reason)
	c.close(i)
}

// retryAfter returns the Retry-After time of a refusal. The result is zero if
// the request's class is unknown, because a retry would not help.
func (c *Core) retryAfter(r *request, reason outcome.Reason) time.Duration {
	switch {
	case r.class == noIndex:
		return 0
	case reason == outcome.NoBackendServer:
		return c.jitter(defaultRetryAfter)
	case IsCapacityRefusal(reason):
		return c.reserveReturn(r)
	}
	return c.jitter(defaultRetryAfter)
}

// refuseForCapacity handles a waiting request that the pool has no capacity
// for. It refers the request to another data centre or, if that is not
// possible, refuses it.
func (c *Core) refuseForCapacity(i int32, reason outcome.Reason, out *Output) {
	if !c.explain.disabled() {
		c.requests[i].expectedWait = duration(c.expectedWaitSeconds(&c.requests[i]))
	}
	c.dequeue(i)
	if c.refer(i, out) {
		return
	}
	c.shedTier = min(c.shedTier, c.classes[c.requests[i].class].Tier)
	c.refuse(i, reason, out)
}

// finishTick is the last phase of a tick. It forgets old ended requests and
// computes when the next tick is due.
func (c *Core) finishTick(_ *Output) {
	for c.ended.count > 0 && c.now-c.ended.entries[c.ended.first].at > endedLifetime {
		c.forgetOldestEnded()
	}
	if c.shedTier != noTier {
		c.lastShedTier, c.lastShedAt = c.shedTier, c.now
	}
	c.nextWakeup = farFuture
	for _, i := range c.running {
		c.nextWakeup = min(c.nextWakeup, c.runningDeadline(&c.requests[i]))
	}
	if c.waiting > 0 {
		c.nextWakeup = c.now
	}
}

// runningDeadline returns when a running request expires: at its deadline, or
// RunningTimeout after its last event.
func (c *Core) runningDeadline(r *request) time.Duration {
	return min(r.deadline, addClamped(r.lastEventAt, c.opts.RunningTimeout))
}

// NextWakeup returns the time by which the next tick is due even without
// events. While requests wait, a tick is always due: the result is the time of
// the last tick, and the caller should tick at its usual interval. NextWakeup
// returns false if no request waits and none can expire.
func (c *Core) NextWakeup() (time.Duration, bool) {
	return c.nextWakeup, c.nextWakeup != farFuture
}

// Idle reports whether no request waits or runs.
func (c *Core) Idle() bool { return c.waiting == 0 && len(c.running) == 0 }
