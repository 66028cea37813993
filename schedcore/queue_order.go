package schedcore

import (
	"math"
	"time"
)

// floorSlots returns the number of slots reserved for a class. The number may be
// fractional.
func (c *Core) floorSlots(cl *class) float64 {
	share := max(cl.Floor, c.opts.MinFloor)
	return min(share, 1) * float64(c.capacity)
}

// mayUseFloor reports whether the class may take a slot from its floor. If the
// floor is below one slot, the class may take a slot while none of its requests
// runs, but not before nextFloorGrant.
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
	// reservePeriod is a length of time. Slots are kept free for the requests
	// that are expected to arrive in higher tiers in this time, so that these
	// requests need not preempt.
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
// refusal for capacity or a preemption. The refusal or preemption evicts the
// waiting requests of the lower tiers. Requests that arrive later in these tiers
// must find their floors free.
const shedFloorHold = 2 * time.Second

// computeFloorSlots computes floorSlotsBelow and freeFloorSlotsBelow of each
// class.
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

// minFloorDemand is a demand in slots. If the demand of a class is lower, no slot
// is kept free for its floor.
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
	slotsBelow, slotsOfTier int // floor slots, in use or free, that the lower tiers and this tier need
	freeBelow, freeOfTier   int // free floor slots that the lower tiers and this tier need
}

// startTier makes the given tier the current one. The sums of the previous tier
// are added to the sums of the lower tiers.
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
// that has waiting requests, or nil. If a request was refused for capacity or
// preempted at this tick, the tiers below that request are skipped.
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

// nextRequest returns the class's request to serve next. Requests in resumeQueue
// go first. If there are none, the next organisation is the one with the fewest
// granted tokens relative to its weight, and its request with the least slack is
// returned.
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

// correctCharge corrects the organisation's virtual time after an attempt. The
// expected tokens that chargeOrganisation added are replaced with the tokens that
// the attempt used.
func (c *Core) correctCharge(r *request, usedTokens int) {
	cl := &c.classes[r.class]
	if r.chargedTokens == 0 {
		return
	}
	cl.queueAt(queueIndexOf(r.organisation)).virtualTime += (float64(usedTokens) - r.chargedTokens) / c.organisations[r.organisation].Weight
}
