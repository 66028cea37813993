package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// preemptSlack is the slack at or below which a waiting request may preempt.
	// If ticks are far apart, the slack is preemptSlackTicks times the interval
	// between the last two ticks instead, but at most maxPreemptSlack.
	preemptSlack      = 20 * time.Millisecond
	preemptSlackTicks = 2
	maxPreemptSlack   = 100 * time.Millisecond
	// maxWastedTokens is the most work, in tokens, that one preemption may
	// waste. If a preemption would waste more, it costs less to start the waiting
	// request late.
	maxWastedTokens = 1000
)

// preemptLowerTiers stops running requests of lower tiers in favour of waiting
// requests that would otherwise start too late. A request does not preempt if a
// request of a higher tier was refused for capacity or preempted at this tick.
// A class preempts only if more requests can be preempted for the class than wait
// in the tiers above. Each request that waits above can then still preempt at its
// own latest start.
func (c *Core) preemptLowerTiers(out *Output) {
	slack := c.preemptionSlack()
	above, sameTier, tier := 0, 0, noTier
	for _, k := range c.classesByTier {
		cl := &c.classes[k]
		if cl.Tier > c.shedTier {
			return
		}
		if cl.Tier != tier {
			above, sameTier, tier = above+sameTier, 0, cl.Tier
		}
		for cl.waiting > 0 {
			head, _ := c.earliestStart(cl)
			if head.latestStart-c.now > slack || c.countVictims(cl) <= above {
				break
			}
			victim := c.chooseVictim(cl)
			if victim == noIndex {
				break
			}
			c.preemptFor(head.request, victim, out)
		}
		sameTier += cl.waiting
	}
}

// preemptionSlack returns the slack at or below which a waiting request may
// preempt.
func (c *Core) preemptionSlack() time.Duration {
	ticks := min(preemptSlackTicks*(c.now-c.lastTick), maxPreemptSlack)
	return max(preemptSlack, ticks)
}

// preemptFor preempts a running request, the victim, and gives the victim's slot to
// the waiting request with index i.
func (c *Core) preemptFor(i, victim int32, out *Output) {
	v := &c.requests[victim]
	s := v.server
	out.Preemptions = append(out.Preemptions, Preemption{
		ID:      v.ticket.ID,
		Server:  c.servers[s].Name,
		Attempt: v.attempt,
	})
	c.stats.Preemptions++
	c.shedTier = min(c.shedTier, c.classes[v.class].Tier)
	c.stopRunning(victim)
	v.mayHaveStarted = true
	c.correctCharge(v, v.uncachedTokens)
	c.explainReason(v, outcome.Preempted)
	c.requeue(victim, outcome.Preempted)
	c.grantOnServer(i, s, out)
}

// chooseVictim returns the running request to preempt for the given class, or
// noIndex. Candidates are idempotent requests in lower tiers whose class runs
// more than its floor, and whose preemption wastes at most maxWastedTokens. The
// candidate in the lowest tier is chosen, and among equal tiers the one that
// wastes the least work.
func (c *Core) chooseVictim(high *class) int32 {
	best := noIndex
	for _, i := range c.running {
		r := &c.requests[i]
		low := &c.classes[r.class]
		if !r.ticket.Idempotent || r.grantedAt == c.now || c.countVictimsOf(high, low) == 0 {
			continue
		}
		if c.wastedTokens(r) > maxWastedTokens {
			continue
		}
		if !c.servers[r.server].acceptsWork() {
			continue
		}
		if best == noIndex || c.cheaperVictim(i, best) {
			best = i
		}
	}
	return best
}

// cheaperVictim reports whether request a is a better victim than request b:
// request a has a lower tier, or the same tier and its preemption wastes less work.
func (c *Core) cheaperVictim(a, b int32) bool {
	x, y := &c.requests[a], &c.requests[b]
	if tx, ty := c.classes[x.class].Tier, c.classes[y.class].Tier; tx != ty {
		return tx > ty
	}
	return c.wastedTokens(x) < c.wastedTokens(y)
}

// wastedTokens returns the work, in tokens, that a preemption of the request would
// waste. Before the first token, the result is an estimate of the prompt tokens
// computed so far. After the first token, the result is the number of tokens that the next attempt
// must compute again: the prompt beyond its prefix, and the answer so far.
func (c *Core) wastedTokens(r *request) int {
	if r.firstTokenSeen {
		return max(r.ticket.PromptTokens-r.ticket.PrefixTokens, 0) + r.deliveredTokens
	}
	expectedSeconds := max(c.estimates.firstToken.predict(float64(r.uncachedTokens+r.pendingTokensBefore)), minFirstTokenSeconds)
	fractionDone := min(seconds(c.now-r.grantedAt)/expectedSeconds, 1)
	return int(fractionDone * float64(r.uncachedTokens))
}

// minFirstTokenSeconds keeps the expected time to the first token above zero.
const minFirstTokenSeconds = 0.001
