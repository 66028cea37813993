package schedcore

import (
	"slices"
	"time"
)

const (
	// limitWindow is the time between updates of a server's limit.
	limitWindow = 500 * time.Millisecond
	// gapRaiseFactor and gapLowerFactor are fractions of the target for the
	// time between tokens. A server's limit may rise while the measured time is
	// below gapRaiseFactor times the target. The limit falls if the measured time
	// is above gapLowerFactor times the target.
	gapRaiseFactor = 0.9
	gapLowerFactor = 1.0
	// limitStep is the number of slots by which one update raises a limit.
	limitStep = 1
	// limitDecrease is the factor by which one update lowers a limit. If the
	// time between tokens is too long, the factor is the target divided by the
	// measured time, but at least limitDecrease.
	limitDecrease = 0.8
	// lateShareToLower is a share of a server's responses. If a larger share is
	// late, the server's limit falls.
	lateShareToLower = 0.5
	// minSamples is the least number of samples for a conclusion about a server
	// from its token gaps or from its late responses.
	minSamples = 8

	// failuresToEject is the number of consecutive failures that eject a
	// server.
	failuresToEject = 3
	// minProbeBackoff and maxProbeBackoff bound the wait between probes of an
	// ejected server.
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
	// slownessToEject is a ratio. A server is ejected if its time between tokens
	// is longer than slownessToEject times the median of the pool's servers.
	slownessToEject = 6
)

// updateLimits updates the servers' limits and ejects or readmits servers.
func (c *Core) updateLimits() {
	median := c.medianTokenGap()
	for i := range c.servers {
		s := &c.servers[i]
		if s.removed {
			continue
		}
		if c.now-s.windowStart >= limitWindow {
			adjustLimit(s, c.now)
			s.window = serverWindow{}
			s.windowStart = c.now
			s.peakInFlight = s.inFlight
		}
		c.ejectOutlier(s, median)
	}
	c.readmitExcess()
	c.recountCapacity()
}

// adjustLimit changes a server's limit according to the observations of the
// last window.
func adjustLimit(s *server, now time.Duration) {
	w := &s.window
	gap := 0.0
	if w.gapCount >= minSamples {
		gap = w.gapSeconds / w.gapCount
	}
	before := s.learnedLimit
	switch {
	case w.refusals > 0:
		s.learnedLimit *= limitDecrease
	case w.gapTarget > 0 && gap > gapLowerFactor*w.gapTarget:
		s.learnedLimit *= max(limitDecrease, w.gapTarget/gap)
	case w.responses >= minSamples && float64(w.lateResponses) > lateShareToLower*float64(w.responses):
		s.learnedLimit *= limitDecrease
	case s.peakInFlight >= s.limit() && (w.gapTarget == 0 || gap < gapRaiseFactor*w.gapTarget):
		s.learnedLimit += limitStep
	}
	if s.learnedLimit < before {
		s.lowerMaxLimit(now)
	}
	s.learnedLimit = min(max(s.learnedLimit, 1), float64(s.limitProber.maxLimit))
}

// medianTokenGap returns the median of the servers' mean times between
// tokens, or zero if none was measured.
func (c *Core) medianTokenGap() float64 {
	c.medianScratch = c.medianScratch[:0]
	for i := range c.servers {
		s := &c.servers[i]
		if s.acceptsWork() && s.tokenGap.weight > 0 {
			c.medianScratch = append(c.medianScratch, s.tokenGap.value)
		}
	}
	if len(c.medianScratch) == 0 {
		return 0
	}
	slices.Sort(c.medianScratch)
	return c.medianScratch[len(c.medianScratch)/2]
}

// ejectOutlier ejects a server if it is failing or very slow, unless more than
// half of the pool would then be ejected.
func (c *Core) ejectOutlier(s *server, median float64) {
	if s.ejected || s.Draining {
		return
	}
	tooSlow := median > 0 && s.tokenGap.weight >= minSamples && s.tokenGap.value > slownessToEject*median
	if s.consecutiveFailures < failuresToEject && !tooSlow {
		return
	}
	if !c.mayEject() {
		return
	}
	s.ejected = true
	s.startProbeBackoff(c.now)
	c.stats.Ejections++
}

// startProbeBackoff starts the wait for the next probe. Each wait is twice as
// long as the previous wait, up to maxProbeBackoff.
func (s *server) startProbeBackoff(now time.Duration) {
	s.probeInFlight = false
	s.backoffStart = now
	s.probeBackoff = min(max(2*s.probeBackoff, minProbeBackoff), maxProbeBackoff)
}

// mayEject reports whether at most half of the pool would be ejected after one
// further ejection.
func (c *Core) mayEject() bool {
	total, ejected := c.countEjected()
	return 2*(ejected+1) <= total
}

// readmitExcess readmits servers while more than half of the pool is ejected.
// This happens if servers that are not ejected leave the pool.
func (c *Core) readmitExcess() {
	total, ejected := c.countEjected()
	for i := range c.servers {
		s := &c.servers[i]
		if 2*ejected <= total {
			return
		}
		if s.ejected && !s.removed && !s.Draining {
			c.readmit(s)
			ejected--
		}
	}
}

// countEjected counts the configured servers that are not draining, and how
// many of them are ejected.
func (c *Core) countEjected() (total, ejected int) {
	for i := range c.servers {
		s := &c.servers[i]
		if s.removed || s.Draining {
			continue
		}
		total++
		if s.ejected {
			ejected++
		}
	}
	return total, ejected
}

// readmit returns a server to the pool, with a limit of a quarter of its slots.
func (c *Core) readmit(s *server) {
	s.ejected = false
	s.probeInFlight = false
	s.consecutiveFailures = 0
	s.probeBackoff = 0
	s.tokenGap = decayingMean{}
	s.learnedLimit = max(1, float64(s.Slots)/4)
	c.recountCapacity()
}
