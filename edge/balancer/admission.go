package balancer

// The load this answers: more long prompts come than the engines can read. If
// all are taken, all are late, also the short ones that wait behind them. Those
// that would be late anyway, and would take much of the engines' time, are told
// at once when to come back.

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// refuseAt is the part of its objective from which on a long prompt's
	// expected time leads to a refusal.
	refuseAt = 0.85
	// refuseBacklog is the part of its objective that must be spent waiting for
	// others' prompts: a prompt that is late by its own size comes back as late.
	refuseBacklog = 0.5
	// heavyMillis is the reading time from which on a request is worth refusing:
	// less would hardly help the others.
	heavyMillis = 40
	// Bounds of the time after which a refused caller comes back. The spread
	// keeps those that were refused together from coming back together.
	earliestReturn = 400 * time.Millisecond
	latestReturn   = 3 * time.Second
	returnSpread   = 0.5
	// longestWait is the part of the time left that callers wait at most before
	// they come back.
	longestWait = 1.0 / 3
	// cutReturn is when a caller should come back whose service is out of reach.
	// Callers with little time left come back sooner than told.
	cutReturn = time.Second
)

// Admit reports whether the attempt that was chosen for a request should be
// made: then the reason is outcome.ReasonNone. If not, it says why, and when the
// caller should come back.
func (t *Balancer) Admit(r Request, a Attempt, now time.Time) (outcome.Reason, time.Duration) {
	if t.onTrial(a.Server.DataCentre, now) {
		// The best server lies across a cut, so all do. One request at a time
		// finds out when that ends; the others need not wait for its timeout.
		return outcome.ServerUnreachable, t.spread(cutReturn)
	}
	if !r.Service.IsEngine() || r.LatencyTarget <= 0 {
		return outcome.ReasonNone, 0
	}
	if readMillis(r.PromptTokens-a.CachedTokens) < heavyMillis {
		return outcome.ReasonNone, 0
	}
	expected := a.honest()
	limit := time.Duration(refuseAt * float64(r.LatencyTarget))
	backlog := readMillis(a.Load.Unread) * a.Slowness
	if expected <= limit || ratio(backlog, r.LatencyTarget) < refuseBacklog {
		return outcome.ReasonNone, 0
	}
	if a.FastestDelay > limit && r.TimeLeft > 0 {
		// All servers are behind, and the request will be late in any case.
		return outcome.Infeasible, t.spread(time.Duration(longestWait * (1 - returnSpread/2) * float64(r.TimeLeft)))
	}
	wait := min(max(expected-r.LatencyTarget/2, earliestReturn), latestReturn)
	return outcome.Infeasible, t.spread(wait)
}

// spread varies a time to return.
func (t *Balancer) spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + returnSpread*(t.random.Float64()-0.5)))
}
