package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// lateShare is the part of a class's target for the first token, or for the
// whole answer where there is none, that a server may use up by itself.
const lateShare = 0.5

// maxGapWeight bounds the tokens for which one report of progress counts.
const maxGapWeight = 32

// maxSlowness bounds one sample of a server's slowness.
const maxSlowness = 10

// lateFloor is the shortest time to the first token that counts as late.
const lateFloor = 100 * time.Millisecond

func (c *Core) observeFirstToken(r *request, after time.Duration) {
	s := &c.servers[r.server]
	c.trust(s)
	prompt := float64(r.uncached + r.ahead)
	expected := c.pool.first.at(prompt)
	if r.trial {
		c.judge(s, after, expected*s.slowness.or(1))
		return
	}
	if expected > 0 {
		s.slowness.add(min(seconds(after)/expected, maxSlowness), 1)
	}
	c.pool.first.add(prompt, seconds(after))
	s.window.firsts++
	if isLate(after, c.classes[r.class].FirstToken) {
		s.window.late++
	}
}

// isLate reports whether a server used up its share of a target.
func isLate(after, target time.Duration) bool {
	return target > 0 && after > max(time.Duration(float64(target)*lateShare), lateFloor)
}

func (c *Core) observeGap(r *request, e *Progress) {
	s := &c.servers[r.server]
	if e.Gap <= 0 {
		return
	}
	gap, n := seconds(min(e.Gap, maxSample)), float64(min(e.Tokens, maxGapWeight))
	s.gap.add(gap, n)
	c.pool.gap.add(gap, n)
	s.window.gapTime += gap * n
	s.window.gaps += n
	bound := seconds(c.classes[r.class].BetweenTokens)
	if bound > 0 && (s.window.gapBound == 0 || bound < s.window.gapBound) {
		s.window.gapBound = bound
	}
}

func (c *Core) observeEnd(r *request, e *Completion) {
	cl := &c.classes[r.class]
	c.trust(&c.servers[r.server])
	tokens := clampTokens(e.Tokens)
	if tokens > 0 {
		cl.lengths.add(tokens)
	}
	c.observeHold(r)
	used := max(clampTokens(e.PromptTokens)-clampTokens(e.CachedTokens), 0) + tokens
	c.settle(r, used)
	if r.ticket.Prefix != 0 && e.CachedTokens == 0 && e.PromptTokens > 0 {
		return
	}
	c.noteGrant(r, r.server)
}

// observeHold learns for how long a request holds its slot. It learns nothing
// from a claim: the request began before the core knew of it.
func (c *Core) observeHold(r *request) {
	if r.claimed {
		return
	}
	if !r.first {
		c.observeWhole(r)
	}
	hold := seconds(c.now - r.granted)
	c.classes[r.class].hold.add(hold, 1)
	c.pool.hold.add(hold, 1)
}

// observeWhole judges a server by the whole answer where there is no first
// token, as with plain services.
func (c *Core) observeWhole(r *request) {
	s := &c.servers[r.server]
	s.window.firsts++
	if isLate(c.now-r.granted, c.classes[r.class].WholeAnswer) {
		s.window.late++
	}
}

func (c *Core) observeFailure(r *request, f *Failure) {
	s := &c.servers[r.server]
	c.settle(r, r.uncached)
	if f.Reason == outcome.ServerRefused {
		s.window.refused++
		return
	}
	s.failures++
	if s.aside {
		s.retreat(c.now)
	}
}

// trust ends a server's run of failures.
func (c *Core) trust(s *server) {
	s.failures = 0
	if s.aside && s.probing {
		c.bringBack(s)
	}
}

// Sizes of a server's history of its requests in flight.
const (
	historyLength = 32
	historyStep   = 100 * time.Millisecond
)

// flightHistory remembers how many requests a server had in flight, so that a
// report can be compared with the count of its time.
type flightHistory struct {
	counts [historyLength]int32
	last   time.Duration
	head   int
}

func (h *flightHistory) add(now time.Duration, count int) {
	if now-h.last < historyStep {
		return
	}
	h.last = now
	h.head = (h.head + 1) % historyLength
	h.counts[h.head] = int32(count)
}

// around returns the highest count near the given age.
func (h *flightHistory) around(age time.Duration, current int) int {
	steps := int(age / historyStep)
	most := current
	for k := 0; k <= min(steps+1, historyLength-1); k++ {
		most = max(most, int(h.counts[(h.head-k+historyLength)%historyLength]))
	}
	return most
}

// observe is the system that keeps the servers' histories.
func (c *Core) observe() {
	for i := range c.servers {
		s := &c.servers[i]
		s.history.add(c.now, s.inFlight)
		if s.foreign > 0 && c.now-s.heardAt > reportLife {
			s.foreign = 0
		}
	}
}

const (
	// reportLife is for how long a report counts.
	reportLife = 3 * time.Second
	// foreignWeight smooths the count of others' requests.
	foreignWeight = 0.5
)

// correct compares a report with the own count of its time. What the server
// runs beyond that comes from others.
func (c *Core) correct(s *server, rep *LoadReport) {
	if rep.Age > reportLife {
		return
	}
	own := s.history.around(rep.Age, s.inFlight)
	extra := max(rep.Running+rep.Waiting-own, 0)
	s.foreign += (float64(min(extra, s.Slots)) - s.foreign) * foreignWeight
	s.heardAt = c.now
}
