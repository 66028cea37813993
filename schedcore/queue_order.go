package schedcore

import (
	"math"
	"time"
)

// floorSlots returns the number of slots reserved for a class, which may be
// fractional.
func (c *Core) floorSlots(cl *class) float64 {
	share := max(cl.Floor, c.opts.MinFloor)
	return min(share, 1) * float64(c.capacity)
}

// mayUseFloor reports whether the class may take a slot from its floor. A class
// whose floor is below one slot is granted one request at a time from it, and
// none before nextFloorGrant.
func (c *Core) mayUseFloor(cl *class) bool {
	if cl.running+1 <= int(c.floorSlots(cl)) {
		return true
	}
	return cl.running == 0 && c.now >= cl.nextFloorGrant
}

// nextClass returns the class that gets the next free slot, and whether the
// slot comes from its floor. Classes below their floor come first, then the
// highest tier, then the class with the least slack.
func (c *Core) nextClass() (best *class, fromFloor bool) {
	for _, k := range c.classesByTier {
		cl := &c.classes[k]
		if cl.waiting > 0 && c.mayUseFloor(cl) {
			return cl, true
		}
	}
	return c.nextClassByTier(), false
}

const (
	// reservePeriod is the period for whose expected arrivals in higher tiers
	// slots are kept free, so that these requests need not preempt.
	reservePeriod = 250 * time.Millisecond
	// maxReserveShare is the largest share of the pool that is kept free for
	// arrivals in higher tiers.
	maxReserveShare = 0.125
)

// computeReserves computes how many free slots each class must leave to the
// tiers above it, and to the floors of the tiers below it.
func (c *Core) computeReserves() {
	above, sameTier, tier := 0.0, 0.0, noTier
	for _, k := range c.classesByTier {
		cl := &c.classes[k]
		if cl.Tier != tier {
			above, sameTier, tier = above+sameTier, 0, cl.Tier
		}
		if cl.nextFloorGrant == 0 {
			c.delayNextFloorGrant(cl)
		}
		c.sumReturningWeights(cl)
		sameTier += cl.arrivals.perSecond(c.now)
		cl.reserve = int(min(above*reservePeriod.Seconds(), maxReserveShare*float64(c.capacity)))
	}
	c.computeFloorSlots()
}

// shedFloorHold is how long the floors of lower tiers are kept free after a
// refusal for capacity or a preemption. Both evict the waiting requests of the
// lower tiers, so a request that arrives there later must find its floor free.
const shedFloorHold = 2 * time.Second

// computeFloorSlots computes for each class how many slots the lower tiers need
// of their floors, and how many free slots the class must leave them.
func (c *Core) computeFloorSlots() {
	below := floorTotals{tier: noTier}
	for k := len(c.classesByTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.classesByTier[k]]
		below.startTier(cl.Tier)
		cl.floorSlotsBelow = below.slotsBelow
		cl.freeFloorSlotsBelow = 0
		if c.now-c.lastShedAt < shedFloorHold && cl.Tier >= c.lastShedTier {
			cl.freeFloorSlotsBelow = below.freeBelow
		}
		floor := c.floorDemand(cl)
		below.add(floor, max(floor-cl.running, 0))
	}
}

// minFloorDemand is the demand, in slots, below which no floor is kept free for
// a class.
const minFloorDemand = 0.01

// floorDemand returns how many slots of its floor a class needs at its current
// rate of arrivals.
func (c *Core) floorDemand(cl *class) int {
	demand := cl.arrivals.perSecond(c.now) * c.meanSlotSeconds(cl)
	if demand < minFloorDemand {
		return 0
	}
	return min(int(math.Ceil(demand)), int(c.floorSlots(cl)))
}

// requestFor returns the class's request that may take a free slot, or noIndex.
// Only a request at its latest start may use the slots reserved for higher
// tiers. If no slot is free but an ejected server is due for a probe, the
// class's next request may be that probe.
func (c *Core) requestFor(cl *class, fromFloor bool) int32 {
	free := c.capacity - c.busy - cl.freeFloorSlotsBelow
	switch {
	case fromFloor || free > cl.reserve:
		return c.nextRequest(cl)
	case free <= 0 && c.anyProbeDue():
		return c.nextRequest(cl)
	case free <= 0:
		return noIndex
	}
	head, _ := c.earliestStart(cl)
	if head.latestStart-c.now > c.preemptionSlack() {
		return noIndex
	}
	return head.request
}

// floorTotals sums floors from the lowest tier upwards. Classes of the same
// tier do not count as below each other.
type floorTotals struct {
	tier                    int
	slotsBelow, slotsOfTier int // floor slots needed by the lower tiers, and by this tier
	freeBelow, freeOfTier   int // free slots that the lower tiers, and this tier, still need for their floors
}

func (f *floorTotals) startTier(tier int) {
	if tier == f.tier {
		return
	}
	f.tier = tier
	f.slotsBelow += f.slotsOfTier
	f.freeBelow += f.freeOfTier
	f.slotsOfTier, f.freeOfTier = 0, 0
}

func (f *floorTotals) add(floor, free int) {
	f.slotsOfTier += floor
	f.freeOfTier += free
}

// nextClassByTier returns the class with the least slack in the highest tier
// that has waiting requests, or nil. It skips the tiers below that of a request
// refused for capacity or preempted at this tick.
func (c *Core) nextClassByTier() *class {
	var best *class
	var earliest time.Duration
	for _, k := range c.classesByTier {
		cl := &c.classes[k]
		if cl.Tier > c.shedTier || best != nil && cl.Tier > best.Tier {
			break
		}
		if cl.waiting == 0 {
			continue
		}
		head, _ := c.earliestStart(cl)
		if best == nil || head.latestStart < earliest {
			best, earliest = cl, head.latestStart
		}
	}
	return best
}

// nextRequest returns the class's request to serve next. Resumed requests go
// first. Otherwise it is the request with the least slack of the organisation
// that has received the fewest tokens for its weight.
func (c *Core) nextRequest(cl *class) int32 {
	if len(cl.queues[resumeQueue].heap) > 0 {
		return cl.queues[resumeQueue].heap[0].request
	}
	best := cl.activeQueues[0]
	for _, queue := range cl.activeQueues[1:] {
		v, b := cl.queues[queue].virtualTime, cl.queues[best].virtualTime
		if v < b || v == b && queue < best {
			best = queue
		}
	}
	return cl.queues[best].heap[0].request
}

// chargeOrganisation adds a granted request's expected tokens to its
// organisation's virtual time.
func (c *Core) chargeOrganisation(r *request) {
	cl := &c.classes[r.class]
	q := cl.queueAt(queueIndexOf(r.organisation))
	if r.queue != resumeQueue {
		cl.virtualTime = max(cl.virtualTime, q.virtualTime)
	}
	answerTokens := cl.answerLengths.quantile(answerLengthQuantile)
	if answerTokens == 0 {
		answerTokens = defaultAnswerTokens
	}
	r.chargedTokens = float64(r.uncachedTokens + answerTokens)
	q.virtualTime += r.chargedTokens / c.organisations[r.organisation].Weight
}

// correctCharge replaces the expected tokens that chargeOrganisation charged
// for a request by the tokens used.
func (c *Core) correctCharge(r *request, usedTokens int) {
	cl := &c.classes[r.class]
	if r.chargedTokens == 0 {
		return
	}
	cl.queueAt(queueIndexOf(r.organisation)).virtualTime += (float64(usedTokens) - r.chargedTokens) / c.organisations[r.organisation].Weight
}
