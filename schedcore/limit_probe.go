package schedcore

import "time"

const (
	// minLimitProbeSlack is the least slack of a request that is used as a
	// limit probe.
	minLimitProbeSlack = 5 * time.Second
	// limitProbesToRaise is the number of consecutive successful limit probes
	// that raise the maximum limit by one.
	limitProbesToRaise = 4
	// limitProbeInterval is the wait after a successful limit probe.
	limitProbeInterval = time.Second
	// minLimitProbeBackoff is the wait before a server's first limit probe, and
	// after the first limit probe that fails. Each further failure doubles the
	// wait, up to maxLimitProbeBackoff.
	minLimitProbeBackoff = 30 * time.Second
	maxLimitProbeBackoff = 20 * time.Minute
	// limitProbeLateFactor and limitProbeLateMargin decide whether a limit probe
	// fails. A limit probe fails if its first token takes longer than
	// limitProbeLateFactor times the expected time, plus limitProbeLateMargin.
	limitProbeLateFactor = 2
	limitProbeLateMargin = 50 * time.Millisecond
	// maxLimitFactor bounds a learned limit, as a multiple of the configured
	// slots.
	maxLimitFactor = 4
)

// limitProber learns how far a server's limit may rise, starting from the
// configured slots. It sends limit probes: single requests beyond the limit, each
// with enough slack to wait. A limit probe succeeds if its first token does not
// arrive much later than on a server without a queue.
type limitProber struct {
	maxLimit      int // highest value that the server's limit may take
	passedProbes  int // consecutive successful limit probes
	probeInFlight bool
	backoff       time.Duration // wait after the last failed limit probe
	nextProbeAt   time.Duration // earliest time of the next limit probe
}

// grantLimitProbe grants the next request in queue order as a limit probe if no
// slot is free and the request has enough slack.
func (c *Core) grantLimitProbe(out *Output) {
	if c.waiting == 0 || c.busy < c.capacity {
		return
	}
	cl := c.nextClassByTier()
	if cl == nil {
		return
	}
	i := c.nextRequest(cl)
	r := &c.requests[i]
	if !r.ticket.Idempotent || r.queue == resumeQueue || r.latestStart-c.now < minLimitProbeSlack {
		return
	}
	s := c.limitProbeServer()
	if s == noIndex {
		return
	}
	c.servers[s].limitProber.probeInFlight = true
	c.grantOnServer(i, s, out)
	c.requests[i].limitProbe = true
	c.stats.LimitProbes++
}

// limitProbeServer returns a full server that is due for a limit probe, or
// noIndex.
func (c *Core) limitProbeServer() int32 {
	for k := range c.servers {
		s := &c.servers[k]
		prober := &s.limitProber
		if !s.acceptsWork() || prober.probeInFlight || c.now < prober.nextProbeAt || s.load() != s.limit() {
			continue
		}
		if s.limit() >= prober.maxLimit && prober.maxLimit < maxLimitFactor*s.Slots {
			return int32(k)
		}
	}
	return noIndex
}

// finishLimitProbe is called when the first token of a limit probe arrives. It
// records whether the limit probe succeeded.
func (c *Core) finishLimitProbe(s *server, firstTokenAfter time.Duration, expectedSeconds float64) {
	prober := &s.limitProber
	prober.probeInFlight = false
	if firstTokenAfter > duration(limitProbeLateFactor*expectedSeconds)+limitProbeLateMargin {
		prober.recordFailure(c.now)
		return
	}
	prober.nextProbeAt = c.now + limitProbeInterval
	prober.passedProbes++
	if prober.passedProbes >= limitProbesToRaise {
		prober.passedProbes = 0
		prober.maxLimit++
	}
}

// recordFailure delays the next limit probe. The delay doubles with each failure.
func (p *limitProber) recordFailure(now time.Duration) {
	p.passedProbes = 0
	p.backoff = min(max(2*p.backoff, minLimitProbeBackoff), maxLimitProbeBackoff)
	p.nextProbeAt = now + p.backoff
}

// lowerMaxLimit reacts to a fall of the server's limit. It takes back one of the
// slots that limit probes added, and delays the next limit probe.
func (s *server) lowerMaxLimit(now time.Duration) {
	if s.limitProber.maxLimit > s.Slots {
		s.limitProber.maxLimit--
	}
	s.limitProber.recordFailure(now)
}
