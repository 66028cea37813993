package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

type eventKind uint8

const (
	eventArrival eventKind = iota + 1
	eventTick
	eventStep
	eventSend
	eventCancel
	eventDeadline
	eventSample
	eventFault
	eventRepair
	// The kinds from here on are messages to the scheduler.
	eventTicket
	eventFirstToken
	eventProgress
	eventEnd
	eventFailure
	eventWithdrawal
	eventReport
	eventHint
)

// event is one entry of the event loop. The fields' use depends on the kind.
type event struct {
	at      time.Duration
	kind    eventKind
	request int32
	engine  int32
	attempt uint32
	epoch   uint32
	tokens  int
	cached  int
	// duration is the time to the first token, or between tokens.
	duration time.Duration
	// message is set for tickets, failures, reports and hints.
	message *message
}

// message is one larger event for the core; the event's kind says which part
// counts.
type message struct {
	ticket  schedcore.Ticket
	failure schedcore.Failure
	report  schedcore.LoadReport
	hint    schedcore.CacheHint
}

// agenda orders events by time, and by insertion at equal times.
type agenda struct {
	// heap orders the slots of events.
	heap   []entry
	events []event
	unused []int32
	seq    uint64
}

type entry struct {
	at   time.Duration
	seq  uint64
	slot int32
}

func (e entry) before(other entry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

func (a *agenda) push(e event) {
	a.seq++
	a.heap = append(a.heap, entry{})
	a.rise(len(a.heap)-1, entry{at: e.at, seq: a.seq, slot: a.store(e)})
}

// store keeps the event in an unused slot.
func (a *agenda) store(e event) int32 {
	if n := len(a.unused); n > 0 {
		slot := a.unused[n-1]
		a.unused = a.unused[:n-1]
		a.events[slot] = e
		return slot
	}
	a.events = append(a.events, e)
	return int32(len(a.events) - 1)
}

// rise puts the entry at the place i or above it.
func (a *agenda) rise(i int, e entry) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(a.heap[parent]) {
			break
		}
		a.heap[i] = a.heap[parent]
		i = parent
	}
	a.heap[i] = e
}

// next returns the time of the first event.
func (a *agenda) next() (time.Duration, bool) {
	if len(a.heap) == 0 {
		return 0, false
	}
	return a.heap[0].at, true
}

// pop removes the first event. The agenda must not be empty.
func (a *agenda) pop() event {
	slot := a.heap[0].slot
	last := len(a.heap) - 1
	moved := a.heap[last]
	a.heap = a.heap[:last]
	if last > 0 {
		a.sink(moved)
	}
	e := a.events[slot]
	a.events[slot] = event{}
	a.unused = append(a.unused, slot)
	return e
}

// sink puts the entry at the first place or below it.
func (a *agenda) sink(e entry) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(a.heap) {
			break
		}
		if child+1 < len(a.heap) && a.heap[child+1].before(a.heap[child]) {
			child++
		}
		if !a.heap[child].before(e) {
			break
		}
		a.heap[i] = a.heap[child]
		i = child
	}
	a.heap[i] = e
}
