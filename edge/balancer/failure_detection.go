package balancer

// The load this answers: a part of the servers fails requests though they call
// themselves healthy, is silent, resets its answers, or works several times
// slower than the others. Each instance sees few requests to each server, so
// the instances share what they saw. Old evidence fades, so that a server that
// recovered is tried again, first by few.

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which evidence loses half of its weight.
	halfLife = 3 * time.Second
	// priorSends and priorFailures are what a server without evidence counts as.
	priorSends    = 1.0
	priorFailures = 0.02
	// priorTime is the time over which a server without evidence counts as
	// being as fast as expected.
	priorTime = 400 * time.Millisecond
	// Bounds of how much slower or faster than expected a server is held to be.
	fastest = 0.7
	slowest = 8.0
)

// AttemptResult is how an attempt ended, as far as it says something of the server.
type AttemptResult uint8

// The results.
const (
	// Succeeded means that the server answered as it should.
	Succeeded AttemptResult = iota + 1
	// Failed means that it failed or broke off: the way to it stands.
	Failed
	// NoResponse means that nothing came from it, not even a refusal.
	NoResponse
	// Cancelled says nothing of the server.
	Cancelled
)

// evidence is a sum of what was seen, each with a weight that halves with each
// halfLife.
type evidence struct {
	at       time.Time
	sends    float64
	failures float64
	// expected and observed are sums of times to the first event, in seconds.
	expected float64
	observed float64
}

// fade brings the sums to their weight at now.
func (e *evidence) fade(now time.Time) {
	age := now.Sub(e.at)
	e.at = now
	if age <= 0 {
		return
	}
	weight := math.Exp2(-age.Seconds() / halfLife.Seconds())
	e.sends *= weight
	e.failures *= weight
	e.expected *= weight
	e.observed *= weight
}

func (e *evidence) observeResult(r AttemptResult, now time.Time) {
	e.fade(now)
	switch r {
	case Succeeded:
		e.sends++
	case Failed, NoResponse:
		e.sends++
		e.failures++
	}
}

func (e *evidence) observeTime(expected, observed time.Duration, now time.Time) {
	e.fade(now)
	e.expected += expected.Seconds()
	e.observed += observed.Seconds()
}

// failing is the probability that the server fails the next request.
func (s *server) failing(now time.Time) float64 {
	s.evidence.fade(now)
	s.otherEvidence.fade(now)
	sends := s.evidence.sends + s.otherEvidence.sends + priorSends
	failures := s.evidence.failures + s.otherEvidence.failures + priorFailures
	return failures / sends
}

// slowness is how many times longer than expected the server takes.
func (s *server) slowness(now time.Time) float64 {
	s.evidence.fade(now)
	s.otherEvidence.fade(now)
	prior := priorTime.Seconds()
	expected := s.evidence.expected + s.otherEvidence.expected + prior
	observed := s.evidence.observed + s.otherEvidence.observed + prior
	return min(max(observed/expected, fastest), slowest)
}
