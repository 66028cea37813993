package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

type eventKind uint8

const (
	// eventArrival is the arrival of a returning caller's request. The arrivals
	// of first requests are not events.
	eventArrival eventKind = iota + 1
	eventTick
	eventStepEnd
	// eventStartAttempt and eventCancel are the arrival of a granted attempt and
	// of its cancellation at the engine.
	eventStartAttempt
	eventCancel
	// eventCallerLeaves is the end of a caller's wait, by its own decision or by
	// its deadline.
	eventCallerLeaves
	// eventLoadSample is the time at which an engine measures its load.
	eventLoadSample
	eventFaultStart
	eventFaultEnd
	// The kinds from here on are messages to the scheduler.
	eventTicket
	eventFirstToken
	eventProgress
	eventCompletion
	eventFailure
	eventWithdrawal
	eventLoadReport
	eventCacheHint
)

// event is one entry of the event queue. The kind says which fields are set.
type event struct {
	at   time.Duration
	kind eventKind
	// request is the index of a request.
	request int32
	// engine is the index of an engine, or of a fault in eventFaultStart and
	// eventFaultEnd.
	engine  int32
	attempt uint32
	// epoch is used by two kinds for different values. In eventStepEnd it is
	// the engine's epoch. In eventStartAttempt it is the attempt's priority at
	// the engine.
	epoch        uint32
	tokens       int
	cachedTokens int
	// duration is the time to the first token in eventFirstToken, and the mean
	// time between tokens in eventProgress.
	duration time.Duration
	// message is set for tickets, failures, load reports and cache hints.
	message *message
}

// message holds the larger payloads of events. The event's kind says which field
// is set.
type message struct {
	ticket     schedcore.Ticket
	failure    schedcore.Failure
	loadReport schedcore.LoadReport
	cacheHint  schedcore.CacheHint
}

// eventQueue is a binary heap of events, ordered by time and, at equal times,
// by insertion.
type eventQueue struct {
	// heap holds an entry for each queued event, with the event's index in
	// events. freeIndexes lists the indexes of events without a queued event.
	heap        []heapEntry
	events      []event
	freeIndexes []int32
	// seq is the number of events pushed.
	seq uint64
}

type heapEntry struct {
	at    time.Duration
	seq   uint64
	index int32
}

func (e heapEntry) before(other heapEntry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

func (q *eventQueue) push(e event) {
	q.seq++
	q.heap = append(q.heap, heapEntry{})
	q.siftUp(len(q.heap)-1, heapEntry{at: e.at, seq: q.seq, index: q.store(e)})
}

// store puts the event at a free index of events and returns the index.
func (q *eventQueue) store(e event) int32 {
	if n := len(q.freeIndexes); n > 0 {
		index := q.freeIndexes[n-1]
		q.freeIndexes = q.freeIndexes[:n-1]
		q.events[index] = e
		return index
	}
	q.events = append(q.events, e)
	return int32(len(q.events) - 1)
}

// siftUp puts the entry at index i of the heap, or at the ancestor of i where
// the heap's order requires it. Each entry between the two places moves down
// one level.
func (q *eventQueue) siftUp(i int, e heapEntry) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// nextTime returns the time of the earliest event. It returns false if the
// queue is empty.
func (q *eventQueue) nextTime() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() event {
	index := q.heap[0].index
	last := len(q.heap) - 1
	moved := q.heap[last]
	q.heap = q.heap[:last]
	if last > 0 {
		q.siftDown(moved)
	}
	e := q.events[index]
	q.events[index] = event{}
	q.freeIndexes = append(q.freeIndexes, index)
	return e
}

// siftDown puts the entry at the root of the heap, or at the descendant where
// the heap's order requires it. Each entry between the two places moves up one
// level.
func (q *eventQueue) siftDown(e heapEntry) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			break
		}
		if child+1 < len(q.heap) && q.heap[child+1].before(q.heap[child]) {
			child++
		}
		if !q.heap[child].before(e) {
			break
		}
		q.heap[i] = q.heap[child]
		i = child
	}
	q.heap[i] = e
}
