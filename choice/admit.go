package choice

// The load this answers: more long prompts come than the engines can read. If
// all are taken, all are late, also the short ones that wait behind them. Those
// that would be late anyway, and would take much of the engines' time, are told
// at once when to come back.

import "time"

const (
	// refuseAt is the part of its objective from which on a long prompt's
	// expected time leads to a refusal.
	refuseAt = 1.5
	// heavyMillis is the reading time from which on a request is worth refusing:
	// less would hardly help the others.
	heavyMillis = 40
	// Bounds of the time after which a refused caller comes back. The spread
	// keeps those that were refused together from coming back together.
	earliestReturn = 400 * time.Millisecond
	latestReturn   = 3 * time.Second
	returnSpread   = 0.5
)

// Admit reports whether the attempt that was chosen for a request should be
// made. If not, it says when the caller should come back.
func (t *Table) Admit(r Request, a Attempt) (retryAfter time.Duration, ok bool) {
	if !r.Service.IsEngine() || r.Objective <= 0 {
		return 0, true
	}
	if readMillis(r.PromptTokens-a.Kept) < heavyMillis {
		return 0, true
	}
	expected := time.Duration(float64(a.Expected) * a.Slowness)
	limit := time.Duration(refuseAt * float64(r.Objective))
	if expected <= limit {
		return 0, true
	}
	wait := min(max(expected-r.Objective/2, earliestReturn), latestReturn)
	spread := 1 + returnSpread*(t.random.Float64()-0.5)
	return time.Duration(float64(wait) * spread), false
}
