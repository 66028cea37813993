package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Marks of ended requests in the index by id.
const (
	markEnded    int32 = -1
	markReferred int32 = -2
)

const (
	// endedLife is for how long an ended request is remembered, so that late
	// events and repeated tickets do nothing.
	endedLife = 2 * time.Minute
	// maxEnded bounds the remembered requests.
	maxEnded = 1 << 16
	minEnded = 1 << 10
)

type endedRequest struct {
	id RequestID
	at time.Duration
}

// endedRing is a queue of ended requests, the oldest first.
type endedRing struct {
	entries []endedRequest
	first   int
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
	bigger := make([]endedRequest, max(2*len(r.entries), minEnded))
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

// mark remembers an ended request.
func (c *Core) mark(id RequestID, mark int32) {
	if c.ended.count == maxEnded {
		c.unmark()
	}
	c.byID[id] = mark
	c.ended.push(endedRequest{id: id, at: c.now})
}

// unmark forgets the request that ended first.
func (c *Core) unmark() {
	e := c.ended.pop()
	if i, ok := c.byID[e.id]; ok && i < 0 {
		delete(c.byID, e.id)
	}
}

// close ends a row that is in no list.
func (c *Core) close(i int32) {
	c.mark(c.rows[i].ticket.ID, markEnded)
	c.freeRow(i)
}

// refuse gives the final answer to a row that is in no list.
func (c *Core) refuse(i int32, reason outcome.Reason, out *Output) {
	r := &c.rows[i]
	final := outcome.Refused
	if r.started {
		final = outcome.Unknown
	}
	out.Refusals = append(out.Refusals, Refusal{
		ID:         r.ticket.ID,
		Final:      final,
		Reason:     reason,
		RetryAfter: c.returnTime(r, reason),
	})
	c.stats.Refusals[reason]++
	if final == outcome.Unknown {
		c.stats.Unknown++
	}
	c.explainRefusal(r, reason)
	c.close(i)
}

// returnTime is when a refused caller may come back, zero if it need not.
func (c *Core) returnTime(r *request, reason outcome.Reason) time.Duration {
	switch {
	case r.class == none:
		return 0
	case reason == outcome.NoBackendServer:
		return c.jitter(otherReturn)
	case IsCapacityRefusal(reason):
		return c.retryAfter(r)
	}
	return c.jitter(otherReturn)
}

// refuseForCapacity ends or refers a waiting row that the pool has no room for.
func (c *Core) refuseForCapacity(i int32, reason outcome.Reason, out *Output) {
	if !c.explain.off() {
		c.rows[i].expected = duration(c.waitSeconds(&c.rows[i]))
	}
	c.remove(i)
	if c.refer(i, out) {
		return
	}
	c.shed = min(c.shed, c.classes[c.rows[i].class].Tier)
	c.refuse(i, reason, out)
}

// finish is the last system: it forgets old requests and works out when the
// next tick is due.
func (c *Core) finish(_ *Output) {
	for c.ended.count > 0 && c.now-c.ended.entries[c.ended.first].at > endedLife {
		c.unmark()
	}
	if c.shed != noTier {
		c.shedTier, c.shedAt = c.shed, c.now
	}
	c.nextWake = farFuture
	for _, i := range c.running {
		c.nextWake = min(c.nextWake, c.runningUntil(&c.rows[i]))
	}
	if c.waiting > 0 {
		c.nextWake = c.now
	}
}

// runningUntil returns when a running request is given up.
func (c *Core) runningUntil(r *request) time.Duration {
	return min(r.deadline, addClamped(r.heard, c.opts.RunningTimeout))
}

// NextWakeup returns the time by which the next tick is due even without events.
// While requests wait, it is the time of the last tick: tick at the usual pace.
// It reports false if nothing waits and nothing expires.
func (c *Core) NextWakeup() (time.Duration, bool) {
	return c.nextWake, c.nextWake != farFuture
}

// Idle reports that no request waits or runs.
func (c *Core) Idle() bool { return c.waiting == 0 && len(c.running) == 0 }
