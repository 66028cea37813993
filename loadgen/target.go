package loadgen

import (
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// targetKind tells a class's latency targets apart.
type targetKind int

const (
	targetFirstToken targetKind = iota
	targetBetweenTokens
	targetWholeAnswer
	targetCount
)

var targetNames = [targetCount]string{"firstToken", "betweenTokens", "wholeAnswer"}

// targetsOf returns the class's targets, zero for none.
func targetsOf(spec api.ServiceClassSpec) [targetCount]time.Duration {
	return [targetCount]time.Duration{
		targetFirstToken:    spec.FirstToken.Std(),
		targetBetweenTokens: spec.BetweenTokens.Std(),
		targetWholeAnswer:   spec.WholeAnswer.Std(),
	}
}

// measures reports whether the target applies to the answer: those on tokens
// only apply to a streamed one.
func (r *result) measures(kind targetKind) bool {
	return kind == targetWholeAnswer || r.firstToken > 0
}

// measured returns what counts against a target. Between tokens it is the mean
// gap of the answer.
func (r *result) measured(kind targetKind) time.Duration {
	switch kind {
	case targetFirstToken:
		return r.firstToken
	case targetBetweenTokens:
		return meanOf(r.gaps)
	default:
		return r.whole
	}
}

func meanOf(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, gap := range gaps {
		total += gap
	}
	return total / time.Duration(len(gaps))
}
