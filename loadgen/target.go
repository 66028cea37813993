package loadgen

import (
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// targetKind identifies one of a class's latency targets.
type targetKind int

const (
	targetFirstToken targetKind = iota
	targetBetweenTokens
	targetWholeAnswer
	targetCount // number of latency targets
)

var targetNames = [targetCount]string{"firstToken", "betweenTokens", "wholeAnswer"}

// latencyTargets returns the class's latency targets. Zero means that the class
// does not have the target.
func latencyTargets(spec api.ServiceClassSpec) [targetCount]time.Duration {
	return [targetCount]time.Duration{
		targetFirstToken:    spec.FirstToken.Std(),
		targetBetweenTokens: spec.BetweenTokens.Std(),
		targetWholeAnswer:   spec.WholeAnswer.Std(),
	}
}

// targetApplies reports whether the latency target applies to the response. The
// targets firstToken and betweenTokens apply only to streamed responses.
func (r *sendResult) targetApplies(target targetKind) bool {
	return target == targetWholeAnswer || r.firstToken > 0
}

// measuredLatency returns the latency that counts against the target. For
// targetBetweenTokens it is the mean gap between the response's tokens.
func (r *sendResult) measuredLatency(target targetKind) time.Duration {
	switch target {
	case targetFirstToken:
		return r.firstToken
	case targetBetweenTokens:
		return mean(r.gaps)
	default:
		return r.whole
	}
}

func mean(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, gap := range gaps {
		total += gap
	}
	return total / time.Duration(len(gaps))
}
