package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// admit is the system that refuses: new requests that cannot meet their
// bounds, and the overflow of the queue.
func (c *Core) admit(out *Output) {
	if !c.hasServer() {
		c.refuseAll(outcome.NoBackendServer, out)
		return
	}
	c.refuseInfeasible(out)
	c.review(out)
	for c.waiting > c.opts.MaxQueue {
		c.refuseForCapacity(c.worst(), outcome.QueueFull, out)
	}
}

func (c *Core) hasServer() bool {
	for i := range c.servers {
		if s := &c.servers[i]; !s.gone && !s.Drain {
			return true
		}
	}
	return false
}

func (c *Core) refuseAll(reason outcome.Reason, out *Output) {
	for k := range c.classes {
		cl := &c.classes[k]
		for cl.waiting > 0 {
			head, _ := c.earliest(cl)
			c.refuseForCapacity(head.row, reason, out)
		}
	}
}

// refuseInfeasible looks at the requests that began to wait at this tick. The
// last comes first, so that those before it see the queue without it.
func (c *Core) refuseInfeasible(out *Output) {
	for k := len(c.fresh) - 1; k >= 0; k-- {
		i := c.fresh[k]
		r := &c.rows[i]
		if r.state != stateWaiting {
			continue
		}
		if addClamped(c.now, duration(c.waitSeconds(r))) > r.startBy {
			c.refuseForCapacity(i, outcome.Infeasible, out)
		}
	}
}

const (
	// reviewMargin is how many times the slack of a request the expected wait
	// must be before it is refused after it was let in, so that a wrong
	// estimate breaks no promise.
	reviewMargin = 1.5
	// reviewSlack is added to the slack before.
	reviewSlack = 200 * time.Millisecond
	// maxReview bounds the requests that one tick refuses so in a class.
	maxReview = 256
)

// review refuses the last of each class's longest lane while the pool can no
// longer serve it in time, because servers left or slowed down. Resumed
// requests are spared.
func (c *Core) review(out *Output) {
	for k := range c.classes {
		cl := &c.classes[k]
		for n := 0; cl.waiting > 0 && n < maxReview; n++ {
			lane := c.longestLane(cl)
			if lane == resumeLane {
				break
			}
			heap := cl.queues[lane].heap
			last := heap[len(heap)-1]
			slack := addClamped(last.startBy-c.now, reviewSlack)
			wait := c.waitSeconds(&c.rows[last.row])
			if wait <= reviewMargin*seconds(slack) {
				break
			}
			c.refuseForCapacity(last.row, outcome.Infeasible, out)
		}
	}
}

// longestLane returns the class's longest lane over its organisation's weight.
func (c *Core) longestLane(cl *class) int32 {
	best, length := none, 0.0
	for _, lane := range cl.active {
		if l := c.laneLength(cl, lane); best == none || l > length {
			best, length = lane, l
		}
	}
	return best
}

// worst returns the waiting row to give up first: in the lowest tier, of the
// organisation with the longest queue over its weight, one of its last.
func (c *Core) worst() int32 {
	for k := len(c.byTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.byTier[k]]
		if cl.waiting == 0 {
			continue
		}
		heap := cl.queues[c.longestLane(cl)].heap
		return heap[len(heap)-1].row
	}
	panic("schedcore: no waiting row in a queue that is too long")
}

// evictBelow is the system that refuses what waits in tiers below a refused or
// preempted one.
func (c *Core) evictBelow(out *Output) {
	if c.shed == noTier || c.noRule {
		return
	}
	shed := c.shed
	for k := len(c.byTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.byTier[k]]
		if cl.Tier <= shed {
			return
		}
		for cl.waiting > 0 {
			heap := cl.queues[cl.active[0]].heap
			c.refuseForCapacity(heap[len(heap)-1].row, outcome.Evicted, out)
		}
	}
}

// laneLength is the length of a lane over its organisation's weight. The lane of
// resumed requests counts as shorter than any other.
func (c *Core) laneLength(cl *class, lane int32) float64 {
	if lane == resumeLane {
		return 0
	}
	return float64(len(cl.queues[lane].heap)) / c.orgs[lane-1].Weight
}
