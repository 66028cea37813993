package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// place is the system that gives free slots away, one request at a time, in
// order.
func (c *Core) place(out *Output) {
	for c.waiting > 0 {
		cl, floor := c.next()
		if cl == nil {
			return
		}
		i := c.rowFor(cl, floor)
		if i == none {
			return
		}
		s := c.pick(i)
		if s == none {
			return
		}
		c.grant(i, s, floor, out)
	}
}

// pick returns the free server with the least expected time to the first
// token, or none.
func (c *Core) pick(i int32) int32 {
	r := &c.rows[i]
	holders := c.prefixes.holders(r.ticket.Prefix)
	best, bestScore := none, 0.0
	c.explain.begin(r, c.now)
	for k := range c.servers {
		s := &c.servers[k]
		if !c.free(s, r) {
			continue
		}
		score := c.score(s, r, cachedOn(&r.ticket, holders, int32(k), c.now))
		score += c.adjustment(s, r, int32(k))
		c.explain.candidate(s.Name, score)
		if best == none || score < bestScore {
			best, bestScore = int32(k), score
		}
	}
	if best != none {
		r.uncached = r.ticket.PromptTokens + r.delivered - cachedOn(&r.ticket, holders, best, c.now)
	}
	return best
}

// adjustment keeps a retry off the server that failed, and draws a probe to a
// server that is set aside: a request that can wait, or any after twice the
// backoff.
func (c *Core) adjustment(s *server, r *request, k int32) float64 {
	switch {
	case k == r.failedOn:
		return failedPenalty
	case !s.aside:
		return 0
	case r.startBy-c.now > probeSlack || c.now >= s.asideAt+2*s.backoff:
		return -failedPenalty
	}
	return 0
}

func (c *Core) probeDue(s *server) bool {
	return s.aside && s.inFlight == 0 && c.now >= s.asideAt+s.backoff
}

// anyProbeDue reports whether a server that is set aside takes a probe.
func (c *Core) anyProbeDue() bool {
	for k := range c.servers {
		s := &c.servers[k]
		if !s.gone && !s.Drain && c.probeDue(s) {
			return true
		}
	}
	return false
}

// free reports whether the server has a slot for the request. A server that is
// set aside takes one idempotent request at a time as a probe.
func (c *Core) free(s *server, r *request) bool {
	if s.gone || s.Drain {
		return false
	}
	if s.aside {
		return r.ticket.Idempotent && c.probeDue(s)
	}
	return s.load() < s.limit()
}

// loadWeight is how many tokens of the answer a slower server counts for, in
// the score of a placement.
const loadWeight = 16

// score is the expected time to the first token in seconds, and a part of the
// time between tokens, so that a slow or full server loses ties.
func (c *Core) score(s *server, r *request, cached int) float64 {
	prompt := float64(s.pending + r.ticket.PromptTokens + r.delivered - cached)
	first := c.pool.first.at(prompt) * s.slowness.or(1)
	gap := s.gap.or(c.pool.gap.or(defaultGap))
	full := float64(s.load()+1) / float64(s.limit())
	return first + loadWeight*gap*full
}

const (
	// failedPenalty keeps a retry off the server that failed while another has
	// a free slot, in seconds.
	failedPenalty = 60
	// probeSlack is the slack from which a request is drawn to a probe.
	probeSlack = 2 * time.Second
	// defaultPrefill is the time of one prompt token before any was seen, in
	// seconds.
	defaultPrefill = 0.0001
	// defaultGap is the time between tokens before any was seen, in seconds.
	defaultGap = 0.03
)

// grantOn grants a waiting row a slot of the given server.
func (c *Core) grantOn(i, s int32, out *Output) {
	r := &c.rows[i]
	cached := cachedOn(&r.ticket, c.prefixes.holders(r.ticket.Prefix), s, c.now)
	r.uncached = r.ticket.PromptTokens + r.delivered - cached
	c.explain.begin(r, c.now)
	c.explain.candidate(c.servers[s].Name, c.score(&c.servers[s], r, cached))
	c.grant(i, s, false, out)
}

// grant moves a waiting row to a server.
func (c *Core) grant(i, s int32, floor bool, out *Output) {
	c.remove(i)
	r := &c.rows[i]
	cl := &c.classes[r.class]
	if r.attempt == r.ticket.Attempt {
		c.earnRetry(cl)
	}
	r.attempt++
	c.charge(r)
	if floor {
		c.startFloor(cl)
	}
	if c.servers[s].aside {
		c.servers[s].probing = true
		c.stats.Probes++
	}
	c.run(i, s)
	c.noteGrant(r, s)
	out.Grants = append(out.Grants, Grant{
		ID:       r.ticket.ID,
		Server:   c.servers[s].Name,
		Attempt:  r.attempt,
		Priority: cl.Tier,
		Continue: r.delivered > 0,
		Reason:   r.why,
		Floor:    floor,
	})
	c.stats.Grants++
	if r.why != outcome.ReasonNone {
		c.stats.Retries[r.why]++
	}
	if r.delivered > 0 {
		c.stats.Continued++
	}
	c.explain.chosen(c.servers[s].Name)
	r.why = outcome.ReasonNone
}

// startFloor notes the use of the floor, for shares below one slot.
func (c *Core) startFloor(cl *class) {
	share := c.floorShare(cl)
	if share <= 0 {
		return
	}
	cl.nextFloor = addClamped(c.now, duration(c.holdSeconds(cl)/share))
}

// noteGrant remembers that the server will hold the request's prefix.
func (c *Core) noteGrant(r *request, s int32) {
	c.prefixes.note(r.ticket.Prefix, holder{server: s, tokens: int32(r.ticket.PrefixTokens), at: c.now})
}
