package schedcore

import "bergamotpin.example/bergamotpin/outcome"

// expireRequests ends requests that ran out of time: running requests past their
// deadline or without an event for too long, and waiting requests past their
// latest start.
func (c *Core) expireRequests(out *Output) {
	for k := len(c.running) - 1; k >= 0; k-- {
		i := c.running[k]
		r := &c.requests[i]
		if c.runningDeadline(r) > c.now {
			continue
		}
		reason := outcome.ServerTimeout
		if r.deadline <= c.now {
			reason = outcome.DeadlinePassed
		}
		r.mayHaveStarted = true
		c.stopRunning(i)
		c.refuse(i, reason, out)
	}
	for _, k := range c.classesByTier {
		c.expireClass(&c.classes[k], out)
	}
}

func (c *Core) expireClass(cl *class, out *Output) {
	for k := len(cl.activeQueues) - 1; k >= 0; k-- {
		// refuseForCapacity computes the Retry-After time, which may append to
		// cl.queues and so reallocate the slice. The queue is therefore looked
		// up by its index each time.
		queue := cl.activeQueues[k]
		for len(cl.queues[queue].heap) > 0 && cl.queues[queue].heap[0].latestStart < c.now {
			i := cl.queues[queue].heap[0].request
			c.refuseForCapacity(i, c.requests[i].latestStartReason, out)
		}
	}
}
