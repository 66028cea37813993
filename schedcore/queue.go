package schedcore

import "time"

// queued is one element of an organisation's queue.
type queued struct {
	startBy time.Duration
	seq     uint64
	row     int32
}

func (a queued) before(b queued) bool {
	if a.startBy != b.startBy {
		return a.startBy < b.startBy
	}
	return a.seq < b.seq
}

// resumeLane holds the requests of all organisations whose answer has begun,
// that lost an attempt, or that came back when told: they go before the others
// of their class.
const resumeLane int32 = 0

// laneOf returns the lane of an organisation's other requests.
func laneOf(org int32) int32 { return org + 1 }

// laneQueue is a heap of the waiting rows of one class and lane, the least slack
// first.
type laneQueue struct {
	heap    []queued
	virtual float64 // tokens granted over weight
	slot    int32   // position in the class's list of active queues
	// returns is until when times to return are given out.
	returns time.Duration
}

// laneAt returns a lane, and adds it if it is new.
func (cl *class) laneAt(lane int32) *laneQueue {
	for int(lane) >= len(cl.queues) {
		cl.queues = append(cl.queues, laneQueue{})
	}
	return &cl.queues[lane]
}

func (c *Core) push(i int32) {
	r := &c.rows[i]
	cl := &c.classes[r.class]
	q := cl.laneAt(r.lane)
	if len(q.heap) == 0 {
		q.slot = int32(len(cl.active))
		q.virtual = max(q.virtual, cl.virtual)
		cl.active = append(cl.active, r.lane)
	}
	r.state = stateWaiting
	c.seq++
	r.seq = c.seq
	q.heap = append(q.heap, queued{startBy: r.startBy, seq: r.seq, row: i})
	c.up(q, len(q.heap)-1)
	cl.waiting++
	c.waiting++
}

// remove takes a waiting row out of its queue.
func (c *Core) remove(i int32) {
	r := &c.rows[i]
	cl := &c.classes[r.class]
	q := &cl.queues[r.lane]
	at, last := int(r.position), len(q.heap)-1
	q.heap[at] = q.heap[last]
	q.heap = q.heap[:last]
	if at < last {
		c.rows[q.heap[at].row].position = int32(at)
		c.down(q, at)
		c.up(q, at)
	}
	if last == 0 {
		c.deactivate(cl, q)
	}
	r.state = stateFree
	cl.waiting--
	c.waiting--
}

func (c *Core) deactivate(cl *class, q *laneQueue) {
	last := len(cl.active) - 1
	moved := cl.active[last]
	cl.active[q.slot] = moved
	cl.queues[moved].slot = q.slot
	cl.active = cl.active[:last]
}

func (c *Core) up(q *laneQueue, at int) {
	e := q.heap[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !e.before(q.heap[parent]) {
			break
		}
		c.set(q, at, q.heap[parent])
		at = parent
	}
	c.set(q, at, e)
}

func (c *Core) down(q *laneQueue, at int) {
	e := q.heap[at]
	for {
		child := 2*at + 1
		if child >= len(q.heap) {
			break
		}
		if child+1 < len(q.heap) && q.heap[child+1].before(q.heap[child]) {
			child++
		}
		if !q.heap[child].before(e) {
			break
		}
		c.set(q, at, q.heap[child])
		at = child
	}
	c.set(q, at, e)
}

func (c *Core) set(q *laneQueue, at int, e queued) {
	c.stats.HeapMoves++
	q.heap[at] = e
	c.rows[e.row].position = int32(at)
}

// earliest returns the waiting row of a class with the least slack.
func (c *Core) earliest(cl *class) (queued, bool) {
	var best queued
	found := false
	for _, o := range cl.active {
		head := cl.queues[o].heap[0]
		if !found || head.before(best) {
			best, found = head, true
		}
	}
	return best, found
}
