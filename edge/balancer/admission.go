package balancer

// If more long prompts arrive than the engines can process and all are
// admitted, all of them are late, and so are the short prompts queued behind
// them. So a long prompt that would be late anyway is refused at once, with a
// time after which to retry.

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// refusalDelayFraction is the fraction of the latency target that a long
	// prompt's expected delay must exceed before it is refused.
	refusalDelayFraction = 0.85
	// refusalBacklogFraction is the fraction of the latency target that the
	// prefill of the prompts queued ahead must take before a prompt is refused.
	// A prompt that is late only because of its own size would be just as late
	// after a retry.
	refusalBacklogFraction = 0.5
	// minRefusalPrefillMillis is the prefill time below which a request is
	// never refused, because refusing it would hardly help the others.
	minRefusalPrefillMillis = 40
	// minRetryAfter and maxRetryAfter bound the Retry-After time, which is then
	// varied at random within a range of retryAfterJitter times its length.
	// This keeps callers that were refused together from returning together.
	minRetryAfter    = 400 * time.Millisecond
	maxRetryAfter    = 3 * time.Second
	retryAfterJitter = 0.5
	// maxWaitFraction is the largest fraction of its remaining time that a
	// caller waits before it returns.
	maxWaitFraction = 1.0 / 3
	// unreachableRetryAfter is the Retry-After time if all servers of a service
	// are unreachable. Callers with little time left return sooner than that.
	unreachableRetryAfter = time.Second
)

// Admit reports whether the attempt that was chosen for a request should be
// made. If so, the reason is outcome.ReasonNone. Otherwise it returns the
// reason for the refusal and the Retry-After time.
func (b *Balancer) Admit(r Request, a Attempt, now time.Time) (outcome.Reason, time.Duration) {
	if b.probing(a.Server.DataCentre, now) {
		// Even the cheapest server is in an unreachable data centre, so every
		// other server is in one too. One request at a time probes whether the
		// data centre can be reached again, so that no other request has to wait
		// for a timeout.
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
	backlog := prefillMillis(a.Load.Unread) * a.Slowness
	if expected <= limit || targetRatio(backlog, r.LatencyTarget) < refusalBacklogFraction {
		return outcome.ReasonNone, 0
	}
	if a.FastestDelay > limit && r.TimeLeft > 0 {
		// All servers have a backlog, so the request would be late in any
		// case. The Retry-After time is as long as the caller would wait.
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
