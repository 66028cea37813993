package scheduler

import "sync/atomic"

// Event is a kind of event that a Remote counts.
type Event uint8

// The counted events. Their names are metric labels and must not change.
const (
	// Resent: a message was sent again because no response had arrived after
	// half of the timeout.
	Resent Event = iota
	// FailedOver: a call to a scheduler timed out or failed, so its sessions
	// moved to the next instance.
	FailedOver
	// Recovered: a scheduler that was skipped after a failover responded again.
	Recovered
	// LocalDelay: the wait for a response was extended because timers of this
	// process fired late.
	LocalDelay
	// Moved: a session changed its scheduler.
	Moved
	// Reclaimed: a session moved while its request was running.
	Reclaimed
	// Resubmitted: a session was sent again to a scheduler that had lost it.
	Resubmitted
	// Superseded: a decision came from a scheduler that the session had left.
	Superseded
	// Duplicate: a decision had no effect, since it granted an attempt again,
	// was about an attempt that is over, or referred a request that was running
	// or had been referred before.
	Duplicate
	// SecondGrant: a scheduler granted a request that may have run already and
	// must not run twice.
	SecondGrant
	// Standalone: this instance started to schedule alone, with a fraction of
	// each server's slots.
	Standalone
	// Referred: a session was referred to another data centre.
	Referred
	// EntryInstanceTimedOut: the sessions of an entry instance were dropped
	// because nothing arrived from it for EntryInstanceTimeout.
	EntryInstanceTimedOut
	// UnknownSession: an entry instance reported that it does not know a session
	// that this instance hosts for it.
	UnknownSession
	eventCount
)

var eventNames = [eventCount]string{
	"resent", "failed_over", "came_back", "own_delay", "moved", "reclaimed",
	"restated", "superseded", "duplicate", "second_grant", "alone", "sent_away",
	"entry_expired", "forgotten",
}

// String returns the event's name as used in metrics.
func (e Event) String() string {
	if e >= eventCount {
		return "invalid"
	}
	return eventNames[e]
}

type eventCounters [eventCount]atomic.Uint64

func (c *eventCounters) add(e Event) { c[e].Add(1) }

// Counters returns how often each event happened. Events that never happened
// are left out.
func (r *Remote) Counters() map[Event]uint64 {
	out := make(map[Event]uint64)
	for i := range r.events {
		if n := r.events[i].Load(); n > 0 {
			out[Event(i)] = n
		}
	}
	return out
}
