package schedcore

import (
	"math"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// poolEstimate is what was learnt over all servers.
type poolEstimate struct {
	gap   mean // seconds between tokens
	first line // seconds to the first token by prompt tokens to compute
	hold  mean // seconds for which a request holds a slot
}

const (
	// feasibleQuantile is the quantile of the answer's length by which a
	// request's time is estimated.
	feasibleQuantile = 0.5
	// spreadMargin is how many times the spread of first-token times is added
	// to the expected one, for requests slower than the average.
	spreadMargin = 3
	// defaultHold is the time for which a request holds a slot, before any
	// was seen.
	defaultHold = 1.0
	// defaultLength is the answer length before any was seen.
	defaultLength = 128
	// waitShare is the least part of a class's target that a request may wait
	// even if its own work takes more than the target.
	waitShare = 0.25
)

// answerTokens estimates how many tokens are still to be generated.
func (c *Core) answerTokens(r *request, q float64) int {
	n := c.classes[r.class].lengths.quantile(q)
	if r.ticket.MaxTokens > 0 {
		n = min(n, r.ticket.MaxTokens)
	}
	return max(n-r.delivered, 0)
}

// firstTokenSeconds estimates the time from a grant to the first token on the
// server that holds most of the prompt.
func (c *Core) firstTokenSeconds(r *request) float64 {
	cached := 0
	for _, h := range c.prefixes.holders(r.ticket.Prefix) {
		cached = max(cached, cachedTokens(&r.ticket, h, c.now))
	}
	prompt := float64(r.ticket.PromptTokens + r.delivered - cached)
	return c.pool.first.at(prompt) + spreadMargin*c.pool.first.spread.or(0)
}

func (c *Core) serviceSeconds(r *request) float64 {
	decode := float64(c.answerTokens(r, feasibleQuantile)) * c.pool.gap.or(0)
	return c.firstTokenSeconds(r) + decode
}

// setBounds works out by when a request must start.
func (c *Core) setBounds(r *request) {
	cl := &c.classes[r.class]
	r.startBy = farFuture
	if cl.FirstToken > 0 && r.delivered == 0 {
		slack := targetSlack(cl.FirstToken, c.firstTokenSeconds(r))
		r.bind(addClamped(r.arrived, slack), outcome.Infeasible)
	}
	if cl.WholeAnswer > 0 {
		slack := targetSlack(cl.WholeAnswer, c.serviceSeconds(r))
		r.bind(addClamped(r.arrived, slack), outcome.Infeasible)
	}
	if cl.MaxWait > 0 {
		from := r.queued
		if r.attempt == 0 {
			from = r.arrived
		}
		r.bind(addClamped(from, cl.MaxWait), outcome.WaitExceeded)
	}
	if r.deadline != farFuture {
		r.bind(r.deadline-duration(c.serviceSeconds(r)), outcome.DeadlinePassed)
	}
}

// targetSlack is the part of a target that may be spent waiting. A request
// whose own work takes more than the target still gets a share: it misses the
// target on an idle pool as well.
func targetSlack(target time.Duration, work float64) time.Duration {
	least := time.Duration(float64(target) * waitShare)
	return max(target-duration(work), least)
}

func (r *request) bind(by time.Duration, reason outcome.Reason) {
	if by < r.startBy {
		r.startBy = by
		r.bound = reason
	}
}

func (c *Core) holdSeconds(cl *class) float64 {
	return cl.hold.or(c.pool.hold.or(defaultHold))
}

// offered estimates how many slots the arrivals of the tiers above hold.
func (c *Core) offered(tier int) float64 {
	sum := 0.0
	for _, k := range c.byTier {
		cl := &c.classes[k]
		if cl.Tier >= tier {
			break
		}
		sum += cl.arrivals.perSecond(c.now) * c.holdSeconds(cl)
	}
	return sum
}

// slotsFor estimates the slots that a class can count on.
func (c *Core) slotsFor(cl *class) float64 {
	left := float64(c.capacity-cl.promisedBelow) - c.offered(cl.Tier)
	return max(left, c.floorShare(cl), minSlots)
}

// minSlots keeps estimates finite.
const minSlots = 0.1

// waitSeconds estimates how long a waiting request still waits: the work ahead
// of it over the slots that its class can count on.
func (c *Core) waitSeconds(r *request) float64 {
	cl := &c.classes[r.class]
	work := c.ownWork(cl, r)
	for k := range c.classes {
		other := &c.classes[k]
		if other != cl && other.Tier <= cl.Tier {
			work += float64(other.waiting) * c.holdSeconds(other)
		}
	}
	work -= float64(c.freeFor(cl)) * c.holdSeconds(cl)
	return max(work, 0) / c.slotsFor(cl)
}

// ownWork is the work of the class's queues up to the last request of the row's
// lane, in slot seconds. Lanes of others count up to their fair share.
func (c *Core) ownWork(cl *class, r *request) float64 {
	resumed := float64(len(cl.queues[resumeLane].heap))
	if r.lane == resumeLane {
		return resumed * c.holdSeconds(cl)
	}
	own := float64(len(cl.queues[r.lane].heap)) / c.orgs[r.org].Weight
	count := resumed
	for _, lane := range cl.active {
		if lane != resumeLane {
			fair := own * c.orgs[lane-1].Weight
			count += min(float64(len(cl.queues[lane].heap)), fair)
		}
	}
	return count * c.holdSeconds(cl)
}

// freeFor counts the slots that are free or that the class may take from lower
// tiers.
func (c *Core) freeFor(cl *class) int {
	return max(c.capacity-c.busy-cl.reserve-cl.heldBelow, 0) + c.victimsFor(cl)
}

// victimsFor counts the running requests that may be preempted for a class.
func (c *Core) victimsFor(cl *class) int {
	n := 0
	for k := range c.classes {
		n += c.takeable(cl, &c.classes[k])
	}
	return n
}

// takeable counts the running requests of a lower class that may be preempted
// for a higher one.
func (c *Core) takeable(high, low *class) int {
	if low.Tier <= high.Tier {
		return 0
	}
	above := low.running - int(math.Ceil(c.floorShare(low)))
	return max(min(above, low.preemptible), 0)
}
