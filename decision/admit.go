package decision

import "bergamotpin.example/bergamotpin/outcome"

// admit is the system that refuses: new requests that cannot meet their
// bounds, the overflow of the queue, and, if any of these was refused for
// capacity, all that still wait in lower tiers.
func (c *Core) admit(out *Output) {
	if !c.hasServer() {
		c.refuseAll(outcome.NoBackendServer, out)
		return
	}
	c.refuseInfeasible(out)
	for c.waiting > c.opts.MaxQueue {
		c.refuseForCapacity(c.worst(), outcome.QueueFull, out)
	}
	c.evictBelow(out)
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

// worst returns the waiting row to give up first: in the lowest tier, of the
// organisation with the longest queue over its weight, one of its last.
func (c *Core) worst() int32 {
	for k := len(c.byTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.byTier[k]]
		if cl.waiting == 0 {
			continue
		}
		best, length := none, 0.0
		for _, lane := range cl.active {
			l := c.laneLength(cl, lane)
			if best == none || l > length {
				best, length = lane, l
			}
		}
		heap := cl.queues[best].heap
		return heap[len(heap)-1].row
	}
	panic("decision: no waiting row in a queue that is too long")
}

// evictBelow refuses what waits in tiers below a refused one.
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
