package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// grantFreeSlots grants free slots one request at a time, in queue order.
func (c *Core) grantFreeSlots(out *Output) {
	for c.waiting > 0 {
		cl, fromFloor := c.nextClass()
		if cl == nil {
			return
		}
		i := c.requestFor(cl, fromFloor)
		if i == noIndex {
			return
		}
		s := c.chooseServer(i)
		if s == noIndex {
			return
		}
		c.grant(i, s, fromFloor, out)
	}
}

// chooseServer returns the server with a free slot and the lowest expected
// time to the first token, or noIndex.
func (c *Core) chooseServer(i int32) int32 {
	r := &c.requests[i]
	holders := c.prefixes.holders(r.ticket.Prefix)
	best, bestScore := noIndex, 0.0
	c.explain.startDraft(r, c.now)
	for k := range c.servers {
		s := &c.servers[k]
		if !c.hasSlotFor(s, r) {
			continue
		}
		score := c.score(s, r, cachedTokensOn(&r.ticket, holders, int32(k), c.now))
		score += c.scoreAdjustment(s, r, int32(k))
		c.explain.addCandidate(s.Name, score)
		if best == noIndex || score < bestScore {
			best, bestScore = int32(k), score
		}
	}
	if best != noIndex {
		r.uncachedTokens = r.ticket.PromptTokens + r.deliveredTokens - cachedTokensOn(&r.ticket, holders, best, c.now)
	}
	return best
}

// scoreAdjustment returns a number to add to a server's score. It steers a retry
// away from the server at which the request failed, and steers probes to ejected
// servers. As soon as the probe backoff ends, each request with more slack than
// minProbeSlack is steered to the ejected server. After twice the probe backoff,
// every request is steered to the ejected server.
func (c *Core) scoreAdjustment(s *server, r *request, index int32) float64 {
	switch {
	case index == r.lastFailedServer:
		return failedServerPenalty
	case !s.ejected:
		return 0
	case r.latestStart-c.now > minProbeSlack || c.now >= s.backoffStart+2*s.probeBackoff:
		return -failedServerPenalty
	}
	return 0
}

// probeDue reports whether an ejected server may get a probe now.
func (c *Core) probeDue(s *server) bool {
	return s.ejected && s.inFlight == 0 && c.now >= s.backoffStart+s.probeBackoff
}

// anyProbeDue reports whether any ejected server is due for a probe.
func (c *Core) anyProbeDue() bool {
	for k := range c.servers {
		s := &c.servers[k]
		if !s.removed && !s.Draining && c.probeDue(s) {
			return true
		}
	}
	return false
}

// hasSlotFor reports whether the server has a slot for the request. An
// ejected server takes one idempotent request at a time, as a probe.
func (c *Core) hasSlotFor(s *server, r *request) bool {
	if s.removed || s.Draining {
		return false
	}
	if s.ejected {
		return r.ticket.Idempotent && c.probeDue(s)
	}
	return s.load() < s.limit()
}

// loadWeightTokens is the weight of load in a server's score, in tokens. The
// score of a full server includes the time that the server takes to generate this
// many tokens. The score of a partly full server includes a proportional part.
const loadWeightTokens = 16

// score returns a server's score for a request, in seconds. It is the expected
// time to the first token, plus a term that grows with the server's time between
// tokens and its load. If two servers have the same expected time to the first
// token, the faster or less loaded server has the lower score.
func (c *Core) score(s *server, r *request, cachedTokens int) float64 {
	promptTokens := float64(s.pendingPromptTokens + r.ticket.PromptTokens + r.deliveredTokens - cachedTokens)
	firstToken := c.estimates.firstToken.predict(promptTokens) * s.slowness.valueOr(1)
	tokenGap := s.tokenGap.valueOr(c.estimates.tokenGap.valueOr(defaultTokenGap))
	utilisation := float64(s.load()+1) / float64(s.limit())
	return firstToken + loadWeightTokens*tokenGap*utilisation
}

const (
	// failedServerPenalty, in seconds, is added to the score of the server at
	// which the request failed, so that a retry goes to another server with a
	// free slot. It is subtracted from the score of an ejected server to steer a
	// probe to that server.
	failedServerPenalty = 60
	// minProbeSlack is the least slack with which a request is steered to an
	// ejected server as a probe.
	minProbeSlack = 2 * time.Second
	// defaultPromptTokenSeconds is the assumed time to process one prompt
	// token before any is measured.
	defaultPromptTokenSeconds = 0.0001
	// defaultTokenGap is the assumed time between tokens before any is
	// measured, in seconds.
	defaultTokenGap = 0.03
)

// grantOnServer grants a waiting request a slot on the given server.
func (c *Core) grantOnServer(i, s int32, out *Output) {
	r := &c.requests[i]
	cachedTokens := cachedTokensOn(&r.ticket, c.prefixes.holders(r.ticket.Prefix), s, c.now)
	r.uncachedTokens = r.ticket.PromptTokens + r.deliveredTokens - cachedTokens
	c.explain.startDraft(r, c.now)
	c.explain.addCandidate(c.servers[s].Name, c.score(&c.servers[s], r, cachedTokens))
	c.grant(i, s, false, out)
}

// grant moves a waiting request to a server and records the decision.
func (c *Core) grant(i, s int32, fromFloor bool, out *Output) {
	c.dequeue(i)
	r := &c.requests[i]
	cl := &c.classes[r.class]
	if r.attempt == r.ticket.Attempt {
		c.creditRetryBudget(cl)
	}
	r.attempt++
	c.chargeOrganisation(r)
	if fromFloor {
		c.delayNextFloorGrant(cl)
	}
	if c.servers[s].ejected {
		c.servers[s].probeInFlight = true
		c.stats.Probes++
	}
	c.startRunning(i, s)
	c.recordPrefix(r, s)
	out.Grants = append(out.Grants, Grant{
		ID:       r.ticket.ID,
		Server:   c.servers[s].Name,
		Attempt:  r.attempt,
		Priority: cl.Tier,
		Continue: r.deliveredTokens > 0,
		Reason:   r.retryReason,
		Floor:    fromFloor,
	})
	c.stats.Grants++
	if r.retryReason != outcome.ReasonNone {
		c.stats.Retries[r.retryReason]++
	}
	if r.deliveredTokens > 0 {
		c.stats.Continued++
	}
	c.explain.storeChoice(c.servers[s].Name)
	r.retryReason = outcome.ReasonNone
}

// delayNextFloorGrant sets the earliest time of the class's next grant from its
// floor. This time has an effect only if the floor is below one slot.
func (c *Core) delayNextFloorGrant(cl *class) {
	slots := c.floorSlots(cl)
	if slots <= 0 {
		return
	}
	cl.nextFloorGrant = addClamped(c.now, duration(c.meanSlotSeconds(cl)/slots))
}

// recordPrefix records that the server will have the request's prefix cached.
func (c *Core) recordPrefix(r *request, s int32) {
	c.prefixes.addHolder(r.ticket.Prefix, prefixHolder{server: s, tokens: int32(r.ticket.PrefixTokens), recordedAt: c.now})
}
