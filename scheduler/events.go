package scheduler

import "sync/atomic"

// Event is something a Remote counts.
type Event uint8

// The counted events. Their names are stable: metrics carry them.
const (
	// Resent is a message sent again for want of an answer.
	Resent Event = iota
	// FailedOver is a scheduler passed over because it gave no answer.
	FailedOver
	// Recovered is a scheduler that answers again after it was passed over.
	Recovered
	// LocalDelay is an answer waited for longer because this process was late.
	LocalDelay
	// Moved is a session that changed its scheduler.
	Moved
	// Reclaimed is a running one among them.
	Reclaimed
	// Resubmitted is a session sent again to a scheduler that had lost it.
	Resubmitted
	// Superseded is a verdict of an earlier scheduler of its session.
	Superseded
	// Duplicate is a verdict about an attempt that is over or was granted
	// before.
	Duplicate
	// SecondGrant is a grant of a request that may not run again.
	SecondGrant
	// Standalone is a change to scheduling alone with a reduced share.
	Standalone
	// Referred is a session referred to another data centre.
	Referred
	// EntryExpired is an entry instance whose sessions were dropped here.
	EntryExpired
	// UnknownSession is a hosted session that its entry instance does not know.
	UnknownSession
	eventCount
)

var eventNames = [eventCount]string{
	"resent", "failed_over", "came_back", "own_delay", "moved", "reclaimed",
	"restated", "superseded", "duplicate", "second_grant", "alone", "sent_away",
	"entry_expired", "forgotten",
}

// String returns the event's name as metrics use it.
func (e Event) String() string {
	if e >= eventCount {
		return "invalid"
	}
	return eventNames[e]
}

type events [eventCount]atomic.Uint64

func (c *events) add(e Event) { c[e].Add(1) }

// Counters returns how often each event happened, without those that did not.
func (r *Remote) Counters() map[Event]uint64 {
	out := make(map[Event]uint64)
	for i := range r.events {
		if n := r.events[i].Load(); n > 0 {
			out[Event(i)] = n
		}
	}
	return out
}
