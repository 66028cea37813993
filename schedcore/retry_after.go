package schedcore

import "time"

const (
	// minReturn and maxReturn bound the time to return.
	minReturn = 100 * time.Millisecond
	maxReturn = time.Hour
	// returnJitter spreads the times to return by this part either way.
	returnJitter = 0.1
	// returnShare is the least part of a class's slots that is booked for
	// callers who come back.
	returnShare = 0.5
	// returnEarly and returnLate are how far from the stated time a caller
	// may come back and still have its booking.
	returnEarly = 50 * time.Millisecond
	returnLate  = 30 * time.Second
	// otherReturn is the time to return after a refusal that is not for lack
	// of room.
	otherReturn = time.Second
)

// booking is a refused request's claim to be served first when it comes back.
type booking struct {
	key uint64
	at  time.Duration
}

// Sizes of the table of bookings.
const (
	bookingSets = 1 << 14
	bookingWays = 4
)

// bookingTable holds bookings by the request's fingerprint. A full set drops
// the booking that is due last.
type bookingTable struct {
	sets [][bookingWays]booking
}

func (t *bookingTable) add(b booking, now time.Duration) {
	if t.sets == nil {
		t.sets = make([][bookingWays]booking, bookingSets)
	}
	set := &t.sets[b.key%bookingSets]
	last := 0
	for i := range set {
		if set[i].key == 0 || set[i].at+returnLate < now {
			set[i] = b
			return
		}
		if set[i].at > set[last].at {
			last = i
		}
	}
	if b.at < set[last].at {
		set[last] = b
	}
}

// take removes the booking of a request that comes back in time, and reports
// whether there was one.
func (t *bookingTable) take(key uint64, now time.Duration) bool {
	if t.sets == nil {
		return false
	}
	set := &t.sets[key%bookingSets]
	for i := range set {
		b := &set[i]
		if b.key == key && now >= b.at-returnEarly && now <= b.at+returnLate {
			*b = booking{}
			return true
		}
	}
	return false
}

// fingerprint identifies a request that comes back: the same prompt of the same
// organisation and class. It is never zero.
func fingerprint(r *request) uint64 {
	h := random{state: uint64(r.class)<<32 | uint64(uint32(r.org))}
	h.state ^= h.next() ^ uint64(r.ticket.PromptTokens)
	h.state ^= h.next() ^ uint64(r.ticket.MaxTokens)
	h.state ^= h.next() ^ r.ticket.Prefix
	return h.next() | 1
}

// retryAfter gives out times to return at the rate at which the class's queue
// drains beyond its arrivals, in turn for each organisation by weight. The
// caller who comes back then is served before new ones.
func (c *Core) retryAfter(r *request) time.Duration {
	cl := &c.classes[r.class]
	hold := c.holdSeconds(cl)
	slots := c.slotsFor(cl)
	drain := float64(cl.waiting) * hold / slots
	spare := slots - cl.arrivals.perSecond(c.now)*hold
	spare = max(spare, slots*returnShare)
	lane := cl.laneAt(laneOf(r.org))
	weight := c.orgs[r.org].Weight
	share := weight / max(cl.returning, weight)
	first := addClamped(c.now+minReturn, duration(drain))
	lane.returns = addClamped(max(lane.returns, first), duration(hold/(spare*share)))
	if lane.returns > c.now+maxReturn {
		lane.returns = c.now + maxReturn
		return time.Duration(float64(maxReturn) * (1 + c.rng.float()) / 2)
	}
	after := c.jitter(lane.returns - c.now)
	c.bookings.add(booking{key: fingerprint(r), at: c.now + after}, c.now)
	return after
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + returnJitter*(2*c.rng.float()-1)))
}

// countReturning sums the weights of the organisations that wait in a class or
// that were told to come back.
func (c *Core) countReturning(cl *class) {
	cl.returning = 0
	for lane := range cl.queues {
		q := &cl.queues[lane]
		if int32(lane) != resumeLane && (q.returns > c.now || len(q.heap) > 0) {
			cl.returning += c.orgs[lane-1].Weight
		}
	}
}
