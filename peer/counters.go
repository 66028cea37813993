package peer

import "sync/atomic"

// Refusal is the reason for which a message or connection was refused or a call
// failed.
type Refusal uint8

// The reasons. Metrics use their names, so the names must not change.
const (
	RefusedVersion     Refusal = iota // frame of an unsupported version
	RefusedNoHandler                  // no handler for the message kind
	RefusedTooLarge                   // message larger than MaxMessageBytes
	RefusedMalformed                  // message that can't be decoded
	RefusedAddress                    // sender's IP address is not the connection's
	RefusedCertificate                // certificate does not hold the connection's IP address
	RefusedBackoff                    // call during the backoff after a failed attempt to connect
	RefusedUnreachable                // no connection, or it broke during the call
	RefusedTimeout                    // call whose context ended before the response
	RefusedHandler                    // the handler returned an error
	refusalCount
)

var refusalNames = [refusalCount]string{
	"version", "kind", "too_large", "malformed", "address", "certificate",
	"backoff", "unreachable", "timeout", "handler",
}

// String returns the reason's name in metrics.
func (r Refusal) String() string {
	if r >= refusalCount {
		return "invalid"
	}
	return refusalNames[r]
}

// kindCount is the size of the counter arrays. Kinds beyond it are counted at
// index zero.
const kindCount = int(KindFreeCapacity) + 1

// Traffic is a number of messages and their bytes, including frame headers.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

type trafficCounter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

func (t *trafficCounter) add(bytes int) {
	t.messages.Add(1)
	t.bytes.Add(uint64(bytes))
}

func (t *trafficCounter) read() Traffic {
	return Traffic{Messages: t.messages.Load(), Bytes: t.bytes.Load()}
}

// Counters counts the messages that a transport sent, received and refused. The
// zero value is ready to use. It is safe for concurrent use.
type Counters struct {
	sent     [kindCount]trafficCounter
	received [kindCount]trafficCounter
	refused  [refusalCount]atomic.Uint64
}

// Sent counts one sent message, a request or a response.
func (c *Counters) Sent(kind Kind, bytes int) { c.sent[kindIndex(kind)].add(bytes) }

// Received counts one received message, a request or a response.
func (c *Counters) Received(kind Kind, bytes int) { c.received[kindIndex(kind)].add(bytes) }

// Refused counts one refusal or failed call.
func (c *Counters) Refused(r Refusal) { c.refused[r].Add(1) }

// Counts is a snapshot of Counters.
type Counts struct {
	Sent     map[Kind]Traffic
	Received map[Kind]Traffic
	Refused  map[Refusal]uint64
}

// Read returns a snapshot. Counters that are zero are left out.
func (c *Counters) Read() Counts {
	out := Counts{
		Sent:     readTraffic(&c.sent),
		Received: readTraffic(&c.received),
		Refused:  make(map[Refusal]uint64),
	}
	for i := range c.refused {
		if n := c.refused[i].Load(); n > 0 {
			out.Refused[Refusal(i)] = n
		}
	}
	return out
}

// Total returns the sum over all kinds, sent plus received.
func (c Counts) Total() Traffic {
	var sum Traffic
	for _, m := range []map[Kind]Traffic{c.Sent, c.Received} {
		for _, t := range m {
			sum.Messages += t.Messages
			sum.Bytes += t.Bytes
		}
	}
	return sum
}

func readTraffic(table *[kindCount]trafficCounter) map[Kind]Traffic {
	out := make(map[Kind]Traffic)
	for i := range table {
		if t := table[i].read(); t.Messages > 0 {
			out[Kind(i)] = t
		}
	}
	return out
}

func kindIndex(kind Kind) int {
	if int(kind) >= kindCount {
		return 0
	}
	return int(kind)
}
