package membership

import "sync/atomic"

// Event is something a Group counts.
type Event uint8

// The counted events. Their names are stable: metrics carry them.
const (
	HeartbeatUnanswered Event = iota
	ReachedByOthers
	Suspected
	Refuted
	Died
	Rejoined
	DampedRejoin
	Synchronised
	LocalPause
	ContactFailed
	ListFailed
	MessageRefused
	// Unreached is a heartbeat's target that no instance reached.
	Unreached
	eventCount
)

var eventNames = [eventCount]string{
	"heartbeat_unanswered", "reached_by_others", "suspected", "refuted", "died",
	"returned", "damped_return", "synchronised", "own_pause", "contact_failed",
	"hints_failed", "message_refused", "unreached",
}

// String returns the event's name as metrics use it.
func (e Event) String() string {
	if e >= eventCount {
		return "invalid"
	}
	return eventNames[e]
}

// counters is safe for concurrent use.
type counters [eventCount]atomic.Uint64

func (c *counters) add(e Event) { c[e].Add(1) }

// Counters returns how often each event happened, without those that did not.
func (g *Group) Counters() map[Event]uint64 {
	out := make(map[Event]uint64)
	for i := range g.counters {
		if n := g.counters[i].Load(); n > 0 {
			out[Event(i)] = n
		}
	}
	return out
}
