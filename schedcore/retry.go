package schedcore

import "bergamotpin.example/bergamotpin/outcome"

// applyFailure ends a failed attempt. It queues the request for another attempt,
// or refuses the request if it may not run again.
func (c *Core) applyFailure(f *Failure, out *Output) {
	i, ok := c.runningAttempt(f.ID, f.Attempt)
	if !ok {
		return
	}
	c.stopRunning(i)
	r := &c.requests[i]
	c.observeFailure(r, f)
	r.mayHaveStarted = r.mayHaveStarted || !f.NotStarted || r.deliveredTokens > 0 || f.Delivered > 0
	r.deliveredTokens = clampTokens(f.Delivered)
	reason := failureReason(f.Reason)
	if r.mayHaveStarted && !r.ticket.Idempotent {
		c.refuse(i, reason, out)
		return
	}
	r.failedAttempts++
	r.lastFailedServer = r.server
	if r.failedAttempts >= c.opts.MaxAttempts {
		c.refuse(i, outcome.AttemptsSpent, out)
		return
	}
	if !c.takeRetry(&c.classes[r.class]) {
		c.shedTier = min(c.shedTier, c.classes[r.class].Tier)
		c.refuse(i, outcome.RetryBudgetSpent, out)
		return
	}
	c.requeue(i, reason)
}

// failureReason returns the reason for a failed attempt. If the given reason is not
// valid for a failure, failureReason returns ServerError.
func failureReason(r outcome.Reason) outcome.Reason {
	if r == outcome.ReasonNone || int(r) >= outcome.ReasonCount || IsCapacityRefusal(r) {
		return outcome.ServerError
	}
	return r
}

// requeue queues a request for its next attempt.
func (c *Core) requeue(i int32, reason outcome.Reason) {
	r := &c.requests[i]
	r.retryReason = reason
	r.queue = resumeQueue
	r.queuedAt = c.now
	c.setLatestStart(r)
	c.enqueue(i)
	c.newlyQueued = append(c.newlyQueued, i)
}

const (
	// retryRatio is the number of retries that each first attempt adds to the
	// retry budget of its class.
	retryRatio = 0.1
	// retryBurst is the initial retry budget of a class, in retries. The maximum
	// budget is retryBurst or, if larger, retryBurstShare times the pool's slots.
	retryBurst      = 32
	retryBurstShare = 0.25
)

// takeRetry takes one retry from the class's retry budget. It returns false if
// the budget is spent.
func (c *Core) takeRetry(cl *class) bool {
	if cl.retryBudget < 1 {
		return false
	}
	cl.retryBudget--
	return true
}

// creditRetryBudget raises the class's retry budget after a first attempt.
func (c *Core) creditRetryBudget(cl *class) {
	maxBudget := max(retryBurst, retryBurstShare*float64(c.capacity))
	cl.retryBudget = min(cl.retryBudget+retryRatio, maxBudget)
}
