package membership

import "sync/atomic"

// Event is a kind of event that a Group counts.
type Event uint8

// The counted events. Metrics use their names, so the names must not change.
const (
	HeartbeatUnanswered Event = iota // a heartbeat got no response
	// ReachedByOthers is a heartbeat target that did not respond at first, but
	// then responded to another instance or to a second attempt.
	ReachedByOthers
	Suspected      // an instance became a suspect
	Refuted        // this instance refuted a record of itself that another instance sent
	Died           // an instance was declared dead
	Rejoined       // an instance came back after its death or restarted
	DampedRejoin   // an instance gets no duties for a while because it rejoined too often
	Synchronised   // records were exchanged with an instance whose digests differed
	LocalPause     // this process did not run for pauseTolerance or longer
	ContactFailed  // a contact in another data centre did not respond
	ListFailed     // the platform's list could not be read
	MessageRefused // a message failed the check of its sender or size
	// Unreached is a heartbeat target that neither this instance nor others
	// could reach.
	Unreached
	eventCount // the number of kinds of events
)

var eventNames = [eventCount]string{
	"heartbeat_unanswered", "reached_by_others", "suspected", "refuted", "died",
	"returned", "damped_return", "synchronised", "own_pause", "contact_failed",
	"hints_failed", "message_refused", "unreached",
}

// String returns the event's name in metrics.
func (e Event) String() string {
	if e >= eventCount {
		return "invalid"
	}
	return eventNames[e]
}

// counters holds the count of each event. It is safe for concurrent use.
type counters [eventCount]atomic.Uint64

func (c *counters) add(e Event) { c[e].Add(1) }

// Counters returns how often each event occurred. Events that did not occur are
// left out.
func (g *Group) Counters() map[Event]uint64 {
	out := make(map[Event]uint64)
	for i := range g.counters {
		if n := g.counters[i].Load(); n > 0 {
			out[Event(i)] = n
		}
	}
	return out
}
