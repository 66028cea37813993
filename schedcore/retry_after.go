package schedcore

import "time"

const (
	// minRetryAfter and maxRetryAfter bound Retry-After times.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Hour
	// retryAfterJitter is the fraction by which Retry-After times vary at
	// random in either direction.
	retryAfterJitter = 0.1
	// minReturnShare is the least share of a class's slots that is reserved
	// for returning callers.
	minReturnShare = 0.5
	// If a caller returns at most reservationEarly before or reservationLate after
	// the due time of its reservation, the caller may use the reservation.
	reservationEarly = 50 * time.Millisecond
	reservationLate  = 30 * time.Second
	// defaultRetryAfter is the Retry-After time of a refusal for a reason
	// other than full capacity.
	defaultRetryAfter = time.Second
)

// reservation lets a refused request be served first when it returns. Its key
// is the request's fingerprint.
type reservation struct {
	key   uint64
	dueAt time.Duration
}

// Dimensions of reservationTable.
const (
	reservationSets = 1 << 14
	reservationWays = 4
)

// reservationTable stores reservations by the fingerprint of the request. If a set
// is full, the reservation that is due last is dropped.
type reservationTable struct {
	sets [][reservationWays]reservation
}

func (t *reservationTable) add(r reservation, now time.Duration) {
	if t.sets == nil {
		t.sets = make([][reservationWays]reservation, reservationSets)
	}
	set := &t.sets[r.key%reservationSets]
	last := 0
	for i := range set {
		if set[i].key == 0 || set[i].dueAt+reservationLate < now {
			set[i] = r
			return
		}
		if set[i].dueAt > set[last].dueAt {
			last = i
		}
	}
	if r.dueAt < set[last].dueAt {
		set[last] = r
	}
}

// take reports whether the request with this fingerprint has a reservation and
// returns in time. If so, take removes the reservation.
func (t *reservationTable) take(key uint64, now time.Duration) bool {
	if t.sets == nil {
		return false
	}
	set := &t.sets[key%reservationSets]
	for i := range set {
		r := &set[i]
		if r.key == key && now >= r.dueAt-reservationEarly && now <= r.dueAt+reservationLate {
			*r = reservation{}
			return true
		}
	}
	return false
}

// requestFingerprint identifies a returning request by its prompt,
// organisation and class. It is never zero.
func requestFingerprint(r *request) uint64 {
	h := random{state: uint64(r.class)<<32 | uint64(uint32(r.organisation))}
	h.state ^= h.next() ^ uint64(r.ticket.PromptTokens)
	h.state ^= h.next() ^ uint64(r.ticket.MaxTokens)
	h.state ^= h.next() ^ r.ticket.Prefix
	return h.next() | 1
}

// reserveReturn returns a Retry-After time and makes a reservation for the
// caller's return. New arrivals of a class take a part of the slots that become
// free. The other slots are left for returning callers, and the organisations of
// the class share these slots by weight. The return times of an organisation's
// callers are spaced by the rate at which its part of the slots becomes free. If
// the wait would exceed maxRetryAfter, no reservation is made, and the Retry-After
// time is random between half of maxRetryAfter and maxRetryAfter.
func (c *Core) reserveReturn(r *request) time.Duration {
	cl := &c.classes[r.class]
	slotSeconds := c.meanSlotSeconds(cl)
	slots := c.expectedSlots(cl)
	drainSeconds := float64(cl.waiting) * slotSeconds / slots
	spareSlots := slots - cl.arrivals.perSecond(c.now)*slotSeconds
	spareSlots = max(spareSlots, slots*minReturnShare)
	queue := cl.queueAt(queueIndexOf(r.organisation))
	weight := c.organisations[r.organisation].Weight
	organisationShare := weight / max(cl.returningWeight, weight)
	earliest := addClamped(c.now+minRetryAfter, duration(drainSeconds))
	queue.lastReturnAt = addClamped(max(queue.lastReturnAt, earliest), duration(slotSeconds/(spareSlots*organisationShare)))
	if queue.lastReturnAt > c.now+maxRetryAfter {
		queue.lastReturnAt = c.now + maxRetryAfter
		return time.Duration(float64(maxRetryAfter) * (1 + c.rng.unitFloat()) / 2)
	}
	after := c.jitter(queue.lastReturnAt - c.now)
	c.reservations.add(reservation{key: requestFingerprint(r), dueAt: c.now + after}, c.now)
	return after
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retryAfterJitter*(2*c.rng.unitFloat()-1)))
}

// sumReturningWeights sums the weights of the organisations that have
// requests waiting in a class or callers due to return.
func (c *Core) sumReturningWeights(cl *class) {
	cl.returningWeight = 0
	for queue := range cl.queues {
		q := &cl.queues[queue]
		if int32(queue) != resumeQueue && (q.lastReturnAt > c.now || len(q.heap) > 0) {
			cl.returningWeight += c.organisations[queue-1].Weight
		}
	}
}
