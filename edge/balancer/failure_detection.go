package balancer

// Some servers report themselves healthy but fail requests. Other servers don't
// respond, reset connections, or are several times slower than the rest. A
// single instance sends few requests to each server, so the instances share
// their statistics. Old statistics decay. So a recovered server is tried again,
// at first with few requests.

import (
	"math"
	"time"
)

const (
	// statsHalfLife is the time in which statistics lose half of their weight.
	statsHalfLife = 3 * time.Second
	// priorSends and priorFailures are added to the observed counts of every
	// server, so that the first failure does not make a server seem useless.
	priorSends    = 1.0
	priorFailures = 0.02
	// priorTime is added to both the expected and the observed delays of every
	// server, so that slowness starts at 1 and changes only gradually.
	priorTime = 400 * time.Millisecond
	// minSlowness and maxSlowness bound a server's slowness, which is the ratio
	// of its observed to its expected delays.
	minSlowness = 0.7
	maxSlowness = 8.0
)

// AttemptResult says what the end of an attempt shows about the server.
type AttemptResult uint8

// Results of an attempt.
const (
	// Succeeded means that the server responded correctly.
	Succeeded AttemptResult = iota + 1
	// Failed means that the server could be reached but reported a failure or
	// broke off its response.
	Failed
	// NoResponse means that nothing arrived from the server, not even a refusal
	// of the connection.
	NoResponse
	// Cancelled means that the attempt was ended for a reason that says nothing
	// about the server.
	Cancelled
	// Outrun means that another server answered first, while this one took longer than
	// nearly all answers do.
	Outrun
)

// outrunFailure is the part of a failure that an outrun attempt counts as. A server that is
// always outrun is soon avoided. One that is outrun as rarely as others is not.
const outrunFailure = 0.5

// attemptStats sums the results of attempts. Each result's weight halves every
// statsHalfLife.
type attemptStats struct {
	// decayedAt is when decay was last called.
	decayedAt time.Time
	sends     float64
	failures  float64
	// expectedSeconds and observedSeconds sum the expected and the observed
	// times to the first event.
	expectedSeconds float64
	observedSeconds float64
}

// decay reduces the sums according to the time since its last call.
func (s *attemptStats) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	s.decayedAt = now
	if age <= 0 {
		return
	}
	weight := math.Exp2(-age.Seconds() / statsHalfLife.Seconds())
	s.sends *= weight
	s.failures *= weight
	s.expectedSeconds *= weight
	s.observedSeconds *= weight
}

func (s *attemptStats) recordResult(r AttemptResult, now time.Time) {
	s.decay(now)
	switch r {
	case Succeeded:
		s.sends++
	case Failed, NoResponse:
		s.sends++
		s.failures++
	case Outrun:
		s.sends++
		s.failures += outrunFailure
	}
}

func (s *attemptStats) recordDelay(expected, observed time.Duration, now time.Time) {
	s.decay(now)
	s.expectedSeconds += expected.Seconds()
	s.observedSeconds += observed.Seconds()
}

// failureProbability estimates how likely the server is to fail the next
// request.
func (s *server) failureProbability(now time.Time) float64 {
	s.localStats.decay(now)
	s.peerStats.decay(now)
	sends := s.localStats.sends + s.peerStats.sends + priorSends
	failures := s.localStats.failures + s.peerStats.failures + priorFailures
	return failures / sends
}

// slowness returns the server's observed delays divided by its expected delays.
// The result is between minSlowness and maxSlowness.
func (s *server) slowness(now time.Time) float64 {
	s.localStats.decay(now)
	s.peerStats.decay(now)
	prior := priorTime.Seconds()
	expected := s.localStats.expectedSeconds + s.peerStats.expectedSeconds + prior
	observed := s.localStats.observedSeconds + s.peerStats.observedSeconds + prior
	return min(max(observed/expected, minSlowness), maxSlowness)
}
