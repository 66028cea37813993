package edge

import (
	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/settings"
)

// hedgingLimits returns the operators' limits in the type of the decision.
func hedgingLimits(o settings.EdgeSecondAttempts) hedging.Limits {
	return hedging.Limits{All: o.Share, Services: sharesByName(o.Services), Routes: sharesByName(o.Routes)}
}

func sharesByName(shares []settings.EdgeShare) map[string]float64 {
	byName := make(map[string]float64, len(shares))
	for _, s := range shares {
		byName[s.Name] = s.Share
	}
	return byName
}

// secondAttemptReadings returns the counts of second attempts for slow answers. Without a limit
// that allows them, there are none.
func (i *Instance) secondAttemptReadings() []metrics.Reading {
	if !i.hedging.Enabled() {
		return nil
	}
	c := i.hedging.Counts()
	out := []metrics.Reading{
		metrics.CounterReading("second_attempts", "", "", c.Begun),
		metrics.CounterReading("second_attempts_wasted_tokens", "", "", c.WastedTokens),
		metrics.CounterReading("second_attempts_wasted_ms", "", "", c.WastedTime.Milliseconds()),
	}
	for _, r := range hedging.Results() {
		out = append(out, metrics.CounterReading("second_attempts_ended", "result", r.String(), c.Results[r]))
	}
	for _, r := range hedging.Reasons() {
		out = append(out, metrics.CounterReading("second_attempts_refused", "reason", r.String(), c.Refused[r]))
	}
	return out
}
