package balancer

// If more long prompts arrive than the engines can process and all of them are
// admitted, they are all late. The short prompts queued behind them are then
// late too. So if a long prompt would be late anyway, the balancer refuses it
// at once and names a time after which to retry. The file urgency.go decides which
// prompts are refused first.

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
// returns the reason for the refusal and the Retry-After time. Admit may replace the
// attempt by one at another server, rather than refuse a request while less urgent ones
// are admitted.
func (b *Balancer) Admit(r Request, a *Attempt, now time.Time) (outcome.Reason, time.Duration) {
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
	limits := b.delayLimitsFor(r, now)
	b.recordUrgency(r, limits.own.makesLate(a), now)
	if !limits.refuse(r, a) || limits.moveToAdmittingServer(r, a) {
		b.recordAdmittedDelay(r, a.delay(), now)
		return outcome.ReasonNone, 0
	}
	a.HeldBackFor, a.AdmittedDelay = limits.heldBackFor, limits.admittedDelay
	if limits.heldBack.exceededBy(r, a) {
		return outcome.HeldBack, b.overloadRetryAfter(r, a, limits.heldBack)
	}
	return outcome.Infeasible, b.overloadRetryAfter(r, a, limits.own)
}

// overloadRetryAfter returns the Retry-After time of a request whose queue exceeds the
// given limit.
func (b *Balancer) overloadRetryAfter(r Request, a *Attempt, exceeded queueLimit) time.Duration {
	if a.FastestDelay > exceeded.delay && r.TimeLeft > 0 {
		// The request would be late at every server because of their queues.
		// The Retry-After time is about the longest time that a caller waits:
		// see maxWaitFraction.
		return b.jitter(time.Duration(maxWaitFraction * (1 - retryAfterJitter/2) * float64(r.TimeLeft)))
	}
	return b.jitter(min(max(a.delay()-r.LatencyTarget/2, minRetryAfter), maxRetryAfter))
}

// queueLimit is the longest queue to which a long prompt is admitted. A queue exceeds it
// if both the request's expected delay and the prefill of the prompts ahead of it are too
// long. The zero value is no limit.
type queueLimit struct{ delay, backlog time.Duration }

// makesLate reports whether the queue at the attempt's server exceeds the limit, whatever
// the size of the prompt.
func (l queueLimit) makesLate(a *Attempt) bool {
	return l.delay > 0 && a.delay() > l.delay && a.backlog() >= l.backlog
}

// exceededBy reports whether the prompt is long and the queue exceeds the limit.
func (l queueLimit) exceededBy(r Request, a *Attempt) bool {
	return prefillMillis(r.PromptTokens-a.CachedTokens) >= minRefusalPrefillMillis && l.makesLate(a)
}

// delayLimits are the limits that apply to one request.
type delayLimits struct {
	// own follows from the request's latency target, heldBack from that of more urgent
	// requests that are late.
	own, heldBack queueLimit
	// No request is refused at a delay up to admittedDelay of the rules.
	urgencyRules
}

// delayLimitsFor returns the limits for a request.
func (b *Balancer) delayLimitsFor(r Request, now time.Time) delayLimits {
	rules := b.urgencyRulesFor(r, now)
	return delayLimits{
		own:          newQueueLimit(r.LatencyTarget, refusalDelayFraction, refusalBacklogFraction),
		heldBack:     newQueueLimit(rules.heldBackFor, heldBackDelayFraction, heldBackBacklogFraction),
		urgencyRules: rules,
	}
}

// newQueueLimit returns a limit at the given fractions of a latency target.
func newQueueLimit(target time.Duration, delayFraction, backlogFraction float64) queueLimit {
	return queueLimit{delay: time.Duration(delayFraction * float64(target)), backlog: time.Duration(backlogFraction * float64(target))}
}

// refuse reports whether the request is refused at the attempt's server.
func (l delayLimits) refuse(r Request, a *Attempt) bool {
	return (l.own.exceededBy(r, a) || l.heldBack.exceededBy(r, a)) && a.delay() > l.admittedDelay
}

// moveToAdmittingServer replaces the attempt by the cheapest one at an examined server
// that admits the request. It returns false if there is none, or if no less urgent
// requests are being admitted: then a prompt is not prefilled again at another server.
func (l delayLimits) moveToAdmittingServer(r Request, a *Attempt) bool {
	if l.admittedDelay == 0 {
		return false
	}
	var best *Attempt
	for _, other := range a.examined {
		if !l.refuse(r, other) && (best == nil || other.Cost < best.Cost) {
			best = other
		}
	}
	if best == nil {
		return false
	}
	fastest := a.FastestDelay
	*a = *best
	a.FastestDelay = fastest
	return true
}

// jitter returns wait multiplied by a random factor that differs from 1 by at
// most half of retryAfterJitter.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + retryAfterJitter*(b.random.Float64()-0.5)))
}
