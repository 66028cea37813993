package schedcore

import "bergamotpin.example/bergamotpin/outcome"

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

// failureReason replaces a reason that an attempt cannot fail with by
// ServerError.
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
	// retryRatio is the number of retries allowed per first attempt of a
	// class.
	retryRatio = 0.1
	// retryBurst is how many retries a class starts with, and the most that
	// it can accumulate. The maximum is retryBurstShare of the pool's slots
	// if that is more.
	retryBurst      = 32
	retryBurstShare = 0.25
)

func (c *Core) takeRetry(cl *class) bool {
	if cl.retryBudget < 1 {
		return false
	}
	cl.retryBudget--
	return true
}

func (c *Core) creditRetryBudget(cl *class) {
	maxBudget := max(retryBurst, retryBurstShare*float64(c.capacity))
	cl.retryBudget = min(cl.retryBudget+retryRatio, maxBudget)
}
