package balancer

// If more long prompts arrive than the engines can process and all of them are
// admitted, they are all late. The short prompts queued behind them are then
// late too. So if a long prompt would be late anyway, the balancer refuses it
// at once and names a time after which to retry.

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// refusalDelayFraction is a fraction of the latency target. A long prompt
	// is refused only if its expected delay exceeds this fraction.
	refusalDelayFraction = 0.85
	// refusalBacklogFraction is a fraction of the latency target. A prompt is
	// refused only if the prefill of the prompts queued ahead of it takes at
	// least this fraction. With a shorter queue, the prompt is late only
	// because of its own size, and would be just as late after a retry.
	refusalBacklogFraction = 0.5
	// minRefusalPrefillMillis is the shortest prefill time, in milliseconds, at
	// which a prompt may be refused. To refuse a shorter prompt would hardly
	// help other requests.
	minRefusalPrefillMillis = 40
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a request
	// that was refused because of its expected delay. If all servers are
	// overloaded and the caller has a time limit, maxWaitFraction is the bound
	// instead. After the random variation, the time may be below
	// minRetryAfter or above maxRetryAfter.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// Every Retry-After time is varied at random, within a range of
	// retryAfterJitter times its length. Without this variation, callers that
	// were refused together would return together.
	retryAfterJitter = 0.5
	// maxWaitFraction is a fraction of a refused caller's remaining time. The
	// caller retries after this fraction at the latest, even if the Retry-After
	// time is longer.
	maxWaitFraction = 1.0 / 3
	// unreachableRetryAfter is the Retry-After time if all servers of a service
	// are unreachable. A caller with little remaining time retries earlier:
	// see maxWaitFraction.
	unreachableRetryAfter = time.Second
)

// Admit decides whether to make the attempt that was chosen for a request. If
// the attempt should be made, the reason is outcome.ReasonNone. Otherwise Admit
// returns the reason for the refusal and the Retry-After time.
func (b *Balancer) Admit(r Request, a Attempt, now time.Time) (outcome.Reason, time.Duration) {
	if b.probing(a.Server.DataCentre, now) {
		// The chosen server is the cheapest, and it is in an unreachable data
		// centre. So all other servers are in unreachable data centres too. A
		// running request already probes whether this data centre can be
		// reached again. Any other request would have to wait for a timeout, so
		// it is refused.
		return outcome.ServerUnreachable, b.jitter(unreachableRetryAfter)
	}
	if !r.Service.IsEngine() || r.LatencyTarget <= 0 {
		return outcome.ReasonNone, 0
	}
	if prefillMillis(r.PromptTokens-a.CachedTokens) < minRefusalPrefillMillis {
		return outcome.ReasonNone, 0
	}
	expected := a.delay()
	limit := time.Duration(refusalDelayFraction * float64(r.LatencyTarget))
	backlog := prefillMillis(a.Load.PrefillTokens) * a.Slowness
	if expected <= limit || targetRatio(backlog, r.LatencyTarget) < refusalBacklogFraction {
		return outcome.ReasonNone, 0
	}
	if a.FastestDelay > limit && r.TimeLeft > 0 {
		// The request would be late at every server because of their queues.
		// The Retry-After time is about the longest time that a caller waits:
		// see maxWaitFraction.
		return outcome.Infeasible, b.jitter(time.Duration(maxWaitFraction * (1 - retryAfterJitter/2) * float64(r.TimeLeft)))
	}
	wait := min(max(expected-r.LatencyTarget/2, minRetryAfter), maxRetryAfter)
	return outcome.Infeasible, b.jitter(wait)
}

// jitter returns wait multiplied by a random factor that differs from 1 by at
// most half of retryAfterJitter.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + retryAfterJitter*(b.random.Float64()-0.5)))
}
