package schedcore

import (
	"math"
	"time"
)

// floorShare returns the slots that are reserved for a class.
func (c *Core) floorShare(cl *class) float64 {
	share := max(cl.Floor, c.opts.MinFloor)
	return min(share, 1) * float64(c.capacity)
}

// belowFloor reports whether the class may take a slot from its floor. A share
// below one slot is given in time: one request, then a pause.
func (c *Core) belowFloor(cl *class) bool {
	if cl.running+1 <= int(c.floorShare(cl)) {
		return true
	}
	return cl.running == 0 && c.now >= cl.nextFloor
}

// next returns the class that the next free slot goes to, and whether the slot
// comes from the class's floor. Floors come first, then the highest tier, then
// the least slack.
func (c *Core) next() (best *class, floor bool) {
	for _, k := range c.byTier {
		cl := &c.classes[k]
		if cl.waiting > 0 && c.belowFloor(cl) {
			return cl, true
		}
	}
	return c.nextByTier(), false
}

const (
	// reserveTime is the time for which the arrivals of the tiers above find a
	// free slot, so that they need not preempt.
	reserveTime = 250 * time.Millisecond
	// maxReserve is the greatest part of the pool that is left free.
	maxReserve = 0.125
)

// order is the system that works out how many free slots each class leaves to
// the tiers above it.
func (c *Core) order() {
	above, same, tier := 0.0, 0.0, noTier
	for _, k := range c.byTier {
		cl := &c.classes[k]
		if cl.Tier != tier {
			above, same, tier = above+same, 0, cl.Tier
		}
		if cl.nextFloor == 0 {
			c.startFloor(cl)
		}
		c.countReturning(cl)
		same += cl.arrivals.perSecond(c.now)
		cl.reserve = int(min(above*reserveTime.Seconds(), maxReserve*float64(c.capacity)))
	}
	c.holdFloors()
}

// shedMemory is for how long after a refusal for capacity the floors of lower
// tiers are held free: what waits there is evicted at each such refusal, so
// its floor must be free when it comes.
const shedMemory = 2 * time.Second

// holdFloors subtracts the floors that lower tiers use from what the higher
// ones are promised, and adds those held free to what higher tiers leave free.
func (c *Core) holdFloors() {
	below := floorSum{tier: noTier}
	for k := len(c.byTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.byTier[k]]
		below.step(cl.Tier)
		cl.promisedBelow = below.lower
		cl.heldBelow = 0
		if c.now-c.shedAt < shedMemory && cl.Tier >= c.shedTier {
			cl.heldBelow = below.lowerHeld
		}
		floor := c.floorInUse(cl)
		below.add(floor, max(floor-cl.running, 0))
	}
}

// minDemand is the demand in slots from which a class counts as using its floor.
const minDemand = 0.01

// floorInUse returns the slots that a class's floor gives it by its arrivals.
func (c *Core) floorInUse(cl *class) int {
	demand := cl.arrivals.perSecond(c.now) * c.holdSeconds(cl)
	if demand < minDemand {
		return 0
	}
	return min(int(math.Ceil(demand)), int(c.floorShare(cl)))
}

// rowFor returns the class's row that may take a free slot, or none. Into the
// reserve for others' arrivals goes only a request at its latest start.
func (c *Core) rowFor(cl *class, floor bool) int32 {
	free := c.capacity - c.busy - cl.heldBelow
	switch {
	case floor || free > cl.reserve:
		return c.nextRow(cl)
	case free <= 0 && c.anyProbeDue():
		return c.nextRow(cl)
	case free <= 0:
		return none
	}
	head, _ := c.earliest(cl)
	if head.startBy-c.now > c.ahead() {
		return none
	}
	return head.row
}

// floorSum sums floors from the lowest tier up. Classes of one tier do not
// count for each other.
type floorSum struct {
	tier            int
	lower, same     int
	lowerHeld, held int
}

func (f *floorSum) step(tier int) {
	if tier == f.tier {
		return
	}
	f.tier = tier
	f.lower += f.same
	f.lowerHeld += f.held
	f.same, f.held = 0, 0
}

func (f *floorSum) add(floor, held int) {
	f.same += floor
	f.held += held
}

// nextByTier returns the class of the highest tier that waits, the least slack
// first. Tiers below one that was refused at this tick get nothing.
func (c *Core) nextByTier() *class {
	var best *class
	var slack time.Duration
	for _, k := range c.byTier {
		cl := &c.classes[k]
		if cl.Tier > c.shed || best != nil && cl.Tier > best.Tier {
			break
		}
		if cl.waiting == 0 {
			continue
		}
		head, _ := c.earliest(cl)
		if best == nil || head.startBy < slack {
			best, slack = cl, head.startBy
		}
	}
	return best
}

// nextRow returns the class's row to serve next: the least slack of the
// organisation with the least service over its weight. Resumed requests go
// first.
func (c *Core) nextRow(cl *class) int32 {
	if len(cl.queues[resumeLane].heap) > 0 {
		return cl.queues[resumeLane].heap[0].row
	}
	best := cl.active[0]
	for _, o := range cl.active[1:] {
		v, b := cl.queues[o].virtual, cl.queues[best].virtual
		if v < b || v == b && o < best {
			best = o
		}
	}
	return cl.queues[best].heap[0].row
}

// charge counts a granted request's expected tokens against its organisation.
func (c *Core) charge(r *request) {
	cl := &c.classes[r.class]
	q := cl.laneAt(laneOf(r.org))
	if r.lane != resumeLane {
		cl.virtual = max(cl.virtual, q.virtual)
	}
	answer := cl.lengths.quantile(feasibleQuantile)
	if answer == 0 {
		answer = defaultLength
	}
	r.charged = float64(r.uncached + answer)
	q.virtual += r.charged / c.orgs[r.org].Weight
}

// settle corrects the charge by what was used.
func (c *Core) settle(r *request, used int) {
	cl := &c.classes[r.class]
	if r.charged == 0 {
		return
	}
	cl.laneAt(laneOf(r.org)).virtual += (float64(used) - r.charged) / c.orgs[r.org].Weight
}
