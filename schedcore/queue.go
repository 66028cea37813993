package schedcore

import "time"

// queueEntry is one entry of a request queue.
type queueEntry struct {
	latestStart time.Duration
	seq         uint64 // the request's queueSeq
	request     int32  // index in Core.requests
}

func (a queueEntry) before(b queueEntry) bool {
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.seq < b.seq
}

// resumeQueue is the index of a class's queue of resumed requests. All
// organisations share this queue. A resumed request has a partial answer, was
// preempted, had a failed attempt, or returned after a Retry-After. Resumed
// requests are served before the other requests of their class.
const resumeQueue int32 = 0

// queueIndexOf returns the index of an organisation's own queue.
func queueIndexOf(organisation int32) int32 { return organisation + 1 }

// requestQueue is a heap of waiting requests of one class. The request with the
// least slack is at the top.
type requestQueue struct {
	heap        []queueEntry
	virtualTime float64 // granted tokens divided by the organisation's weight
	activeIndex int32   // index in the class's activeQueues
	// lastReturnAt is the latest return time that a refused caller of the
	// organisation was given.
	lastReturnAt time.Duration
}

// queueAt returns the queue with the given index. If the class does not have this
// queue yet, queueAt adds it.
func (cl *class) queueAt(queue int32) *requestQueue {
	for int(queue) >= len(cl.queues) {
		cl.queues = append(cl.queues, requestQueue{})
	}
	return &cl.queues[queue]
}

func (c *Core) enqueue(i int32) {
	r := &c.requests[i]
	cl := &c.classes[r.class]
	q := cl.queueAt(r.queue)
	if len(q.heap) == 0 {
		q.activeIndex = int32(len(cl.activeQueues))
		q.virtualTime = max(q.virtualTime, cl.virtualTime)
		cl.activeQueues = append(cl.activeQueues, r.queue)
	}
	r.state = stateWaiting
	c.seq++
	r.queueSeq = c.seq
	q.heap = append(q.heap, queueEntry{latestStart: r.latestStart, seq: r.queueSeq, request: i})
	c.siftUp(q, len(q.heap)-1)
	cl.waiting++
	c.waiting++
}

// dequeue removes a waiting request from its queue.
func (c *Core) dequeue(i int32) {
	r := &c.requests[i]
	cl := &c.classes[r.class]
	q := &cl.queues[r.queue]
	at, last := int(r.listIndex), len(q.heap)-1
	q.heap[at] = q.heap[last]
	q.heap = q.heap[:last]
	if at < last {
		c.requests[q.heap[at].request].listIndex = int32(at)
		c.siftDown(q, at)
		c.siftUp(q, at)
	}
	if last == 0 {
		c.deactivateQueue(cl, q)
	}
	r.state = stateInactive
	cl.waiting--
	c.waiting--
}

func (c *Core) deactivateQueue(cl *class, q *requestQueue) {
	last := len(cl.activeQueues) - 1
	moved := cl.activeQueues[last]
	cl.activeQueues[q.activeIndex] = moved
	cl.queues[moved].activeIndex = q.activeIndex
	cl.activeQueues = cl.activeQueues[:last]
}

func (c *Core) siftUp(q *requestQueue, at int) {
	e := q.heap[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !e.before(q.heap[parent]) {
			break
		}
		c.setEntry(q, at, q.heap[parent])
		at = parent
	}
	c.setEntry(q, at, e)
}

func (c *Core) siftDown(q *requestQueue, at int) {
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
		c.setEntry(q, at, q.heap[child])
		at = child
	}
	c.setEntry(q, at, e)
}

func (c *Core) setEntry(q *requestQueue, at int, e queueEntry) {
	c.stats.HeapMoves++
	q.heap[at] = e
	c.requests[e.request].listIndex = int32(at)
}

// earliestStart returns the queue entry of the class's waiting request with the
// least slack. It returns false if the class has no waiting request.
func (c *Core) earliestStart(cl *class) (queueEntry, bool) {
	var best queueEntry
	found := false
	for _, queue := range cl.activeQueues {
		head := cl.queues[queue].heap[0]
		if !found || head.before(best) {
			best, found = head, true
		}
	}
	return best, found
}
