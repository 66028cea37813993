package schedcore

import (
	"slices"
	"time"
)

const (
	// limitWindow is the time between changes of a server's limit.
	limitWindow = 500 * time.Millisecond
	// gapRaise and gapLower are the parts of the target between tokens under
	// which a limit rises and over which it falls.
	gapRaise = 0.9
	gapLower = 1.0
	// limitStep is by how many slots a limit rises.
	limitStep = 1
	// limitFactor is by how much a limit falls at most.
	limitFactor = 0.8
	// lateLower is the part of late first tokens over which a limit falls.
	lateLower = 0.5
	// minSamples is the number of gaps or first tokens that a change needs.
	minSamples = 8

	// failuresAside is the number of failures in a row that set a server
	// aside.
	failuresAside = 3
	minBackoff    = time.Second
	maxBackoff    = 30 * time.Second
	// slowAside is how many times the pool's median time between tokens sets
	// a server aside.
	slowAside = 6
)

// limit is the system that sets the servers' limits and sets outliers aside.
func (c *Core) limit() {
	median := c.medianGap()
	for i := range c.servers {
		s := &c.servers[i]
		if s.gone {
			continue
		}
		if c.now-s.windowAt >= limitWindow {
			adjust(s, c.now)
			s.window = serverWindow{}
			s.windowAt = c.now
			s.peak = s.inFlight
		}
		c.setAside(s, median)
	}
	c.releaseAside()
	c.recount()
}

// adjust changes a limit by what the window showed.
func adjust(s *server, now time.Duration) {
	w := &s.window
	gap := 0.0
	if w.gaps >= minSamples {
		gap = w.gapTime / w.gaps
	}
	before := s.ceiling
	switch {
	case w.refused > 0:
		s.ceiling *= limitFactor
	case w.gapBound > 0 && gap > gapLower*w.gapBound:
		s.ceiling *= max(limitFactor, w.gapBound/gap)
	case w.firsts >= minSamples && float64(w.late) > lateLower*float64(w.firsts):
		s.ceiling *= limitFactor
	case s.peak >= s.limit() && (w.gapBound == 0 || gap < gapRaise*w.gapBound):
		s.ceiling += limitStep
	}
	if s.ceiling < before {
		s.shrink(now)
	}
	s.ceiling = min(max(s.ceiling, 1), float64(s.growth.top))
}

// medianGap returns the median time between tokens over the servers.
func (c *Core) medianGap() float64 {
	c.medians = c.medians[:0]
	for i := range c.servers {
		s := &c.servers[i]
		if s.takesWork() && s.gap.weight > 0 {
			c.medians = append(c.medians, s.gap.value)
		}
	}
	if len(c.medians) == 0 {
		return 0
	}
	slices.Sort(c.medians)
	return c.medians[len(c.medians)/2]
}

// setAside takes a failing or very slow server out of the pool, but never more
// than half of the pool.
func (c *Core) setAside(s *server, median float64) {
	if s.aside || s.Drain {
		return
	}
	slow := median > 0 && s.gap.weight >= minSamples && s.gap.value > slowAside*median
	if s.failures < failuresAside && !slow {
		return
	}
	if !c.maySetAside() {
		return
	}
	s.aside = true
	s.retreat(c.now)
	c.stats.Ejections++
}

// retreat starts the wait for the next probe, each time twice as long.
func (s *server) retreat(now time.Duration) {
	s.probing = false
	s.asideAt = now
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
}

func (c *Core) maySetAside() bool {
	all, aside := c.countAside()
	return 2*(aside+1) <= all
}

// releaseAside brings servers back while more than half of the pool is set
// aside, because others left.
func (c *Core) releaseAside() {
	all, aside := c.countAside()
	for i := range c.servers {
		s := &c.servers[i]
		if 2*aside <= all {
			return
		}
		if s.aside && !s.gone && !s.Drain {
			c.bringBack(s)
			aside--
		}
	}
}

// countAside counts the servers that are configured to take work, and those of
// them that are set aside.
func (c *Core) countAside() (all, aside int) {
	for i := range c.servers {
		s := &c.servers[i]
		if s.gone || s.Drain {
			continue
		}
		all++
		if s.aside {
			aside++
		}
	}
	return all, aside
}

// bringBack returns a server to the pool with a low limit.
func (c *Core) bringBack(s *server) {
	s.aside = false
	s.probing = false
	s.failures = 0
	s.backoff = 0
	s.gap = mean{}
	s.ceiling = max(1, float64(s.Slots)/4)
	c.recount()
}
