package schedcore

import "bergamotpin.example/bergamotpin/outcome"

// expire is the system that gives up what can no longer meet its bounds:
// running requests past their deadline or not heard of for too long, and
// waiting requests past their latest start.
func (c *Core) expire(out *Output) {
	for k := len(c.running) - 1; k >= 0; k-- {
		i := c.running[k]
		r := &c.rows[i]
		if c.runningUntil(r) > c.now {
			continue
		}
		reason := outcome.ServerTimeout
		if r.deadline <= c.now {
			reason = outcome.DeadlinePassed
		}
		r.started = true
		c.stop(i)
		c.refuse(i, reason, out)
	}
	for _, k := range c.byTier {
		c.expireClass(&c.classes[k], out)
	}
}

func (c *Core) expireClass(cl *class, out *Output) {
	for k := len(cl.active) - 1; k >= 0; k-- {
		// A refusal may add lanes, so the lane is looked up each time.
		lane := cl.active[k]
		for len(cl.queues[lane].heap) > 0 && cl.queues[lane].heap[0].startBy < c.now {
			i := cl.queues[lane].heap[0].row
			c.refuseForCapacity(i, c.rows[i].bound, out)
		}
	}
}
