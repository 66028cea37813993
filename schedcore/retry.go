package schedcore

import "bergamotpin.example/bergamotpin/outcome"

func (c *Core) applyFailure(f *Failure, out *Output) {
	i, ok := c.current(f.ID, f.Attempt)
	if !ok {
		return
	}
	c.stop(i)
	r := &c.rows[i]
	c.observeFailure(r, f)
	r.started = r.started || !f.NotStarted || r.delivered > 0 || f.Delivered > 0
	r.delivered = clampTokens(f.Delivered)
	reason := failureReason(f.Reason)
	if r.started && !r.ticket.Idempotent {
		c.refuse(i, reason, out)
		return
	}
	r.failures++
	r.failedOn = r.server
	if r.failures >= c.opts.MaxAttempts {
		c.refuse(i, outcome.AttemptsSpent, out)
		return
	}
	if !c.spendRetry(&c.classes[r.class]) {
		c.shed = min(c.shed, c.classes[r.class].Tier)
		c.refuse(i, outcome.RetryBudgetSpent, out)
		return
	}
	c.requeue(i, reason)
}

// failureReason maps reasons that no attempt fails for to ServerError.
func failureReason(r outcome.Reason) outcome.Reason {
	if r == outcome.ReasonNone || int(r) >= outcome.ReasonCount || IsCapacityRefusal(r) {
		return outcome.ServerError
	}
	return r
}

// requeue lets a request wait for its next attempt.
func (c *Core) requeue(i int32, why outcome.Reason) {
	r := &c.rows[i]
	r.why = why
	r.lane = resumeLane
	r.queued = c.now
	c.setBounds(r)
	c.push(i)
	c.fresh = append(c.fresh, i)
}

const (
	// retryShare is the part of a class's first attempts that may be retried.
	retryShare = 0.1
	// retryBurst is the number of retries that a class may save up, and that it
	// starts with, or retryBurstShare of the pool's slots if that is more.
	retryBurst      = 32
	retryBurstShare = 0.25
)

func (c *Core) spendRetry(cl *class) bool {
	if cl.budget < 1 {
		return false
	}
	cl.budget--
	return true
}

func (c *Core) earnRetry(cl *class) {
	most := max(retryBurst, retryBurstShare*float64(c.capacity))
	cl.budget = min(cl.budget+retryShare, most)
}
