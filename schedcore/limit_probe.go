package schedcore

import "time"

const (
	// growSlack is the slack from which a request may be a trial.
	growSlack = 5 * time.Second
	// growPasses is the number of trials in a row that raise a limit.
	growPasses = 4
	// growPause is the time to the next trial after one that passed.
	growPause = time.Second
	// minGrowPause is the time from a server's start to its first trial, and
	// to the next after one that failed. It doubles with each failure.
	minGrowPause = 30 * time.Second
	maxGrowPause = 20 * time.Minute
	// trialFactor and trialMargin bound a passed trial's time to the first
	// token: that many times the expected one, and a constant.
	trialFactor = 2
	trialMargin = 50 * time.Millisecond
	// maxGrowth bounds a learnt limit, in configured slots.
	maxGrowth = 4
)

// growth is what a server's learnt limit may rise to. The configured slots are
// where it starts. Trials raise it: one request beyond the limit, that can
// wait, must get its first token without waiting in the server.
type growth struct {
	top    int
	passes int
	trying bool
	pause  time.Duration
	next   time.Duration
}

// tryMore is the system that grants trials: the request that is next in order,
// if it can wait and every slot is taken.
func (c *Core) tryMore(out *Output) {
	if c.waiting == 0 || c.busy < c.capacity {
		return
	}
	cl := c.nextByTier()
	if cl == nil {
		return
	}
	i := c.nextRow(cl)
	r := &c.rows[i]
	if !r.ticket.Idempotent || r.lane == resumeLane || r.startBy-c.now < growSlack {
		return
	}
	s := c.trialServer()
	if s == none {
		return
	}
	c.servers[s].growth.trying = true
	c.grantOn(i, s, out)
	c.rows[i].trial = true
	c.stats.LimitProbes++
}

// trialServer returns a full server whose limit may be tried, or none.
func (c *Core) trialServer() int32 {
	for k := range c.servers {
		s := &c.servers[k]
		g := &s.growth
		if !s.takesWork() || g.trying || c.now < g.next || s.load() != s.limit() {
			continue
		}
		if s.limit() >= g.top && g.top < maxGrowth*s.Slots {
			return int32(k)
		}
	}
	return none
}

// judge ends a trial by its time to the first token.
func (c *Core) judge(s *server, after time.Duration, expected float64) {
	g := &s.growth
	g.trying = false
	if after > duration(trialFactor*expected)+trialMargin {
		g.fail(c.now)
		return
	}
	g.next = c.now + growPause
	g.passes++
	if g.passes >= growPasses {
		g.passes = 0
		g.top++
	}
}

// fail lets the next trial wait, and longer each time.
func (g *growth) fail(now time.Duration) {
	g.passes = 0
	g.pause = min(max(2*g.pause, minGrowPause), maxGrowPause)
	g.next = now + g.pause
}

// shrink takes back what trials gave, when the server became slow.
func (s *server) shrink(now time.Duration) {
	if s.growth.top > s.Slots {
		s.growth.top--
	}
	s.growth.fail(now)
}
