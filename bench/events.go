package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/decision"
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
	seq     uint64
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
	ticket  decision.Ticket
	failure decision.Failure
	report  decision.Report
	hint    decision.CacheHint
}

// agenda orders events by time, and by insertion at equal times.
type agenda struct {
	heap []event
	seq  uint64
}

func (a *agenda) less(i, j int) bool {
	if a.heap[i].at != a.heap[j].at {
		return a.heap[i].at < a.heap[j].at
	}
	return a.heap[i].seq < a.heap[j].seq
}

func (a *agenda) push(e event) {
	a.seq++
	e.seq = a.seq
	a.heap = append(a.heap, e)
	i := len(a.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !a.less(i, parent) {
			return
		}
		a.heap[i], a.heap[parent] = a.heap[parent], a.heap[i]
		i = parent
	}
}

func (a *agenda) pop() (event, bool) {
	if len(a.heap) == 0 {
		return event{}, false
	}
	top := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap[last] = event{}
	a.heap = a.heap[:last]
	a.sink(0)
	return top, true
}

func (a *agenda) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(a.heap); child++ {
			if a.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		a.heap[i], a.heap[least] = a.heap[least], a.heap[i]
		i = least
	}
}
