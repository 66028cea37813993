package peer

import "sync/atomic"

// Refusal says why a message or a connection was refused.
type Refusal uint8

// The reasons of refusals. Their names are stable: metrics carry them.
const (
	RefusedVersion Refusal = iota
	RefusedKind
	RefusedTooLarge
	RefusedMalformed
	RefusedAddress
	RefusedCertificate
	RefusedBackoff
	RefusedUnreachable
	RefusedTimeout
	RefusedHandler
	refusalCount
)

var refusalNames = [refusalCount]string{
	"version", "kind", "too_large", "malformed", "address", "certificate",
	"backoff", "unreachable", "timeout", "handler",
}

// String returns the reason's name as metrics use it.
func (r Refusal) String() string {
	if r >= refusalCount {
		return "invalid"
	}
	return refusalNames[r]
}

// kindCount bounds the tables of counters. A kind above it counts as zero.
const kindCount = int(KindFreeCapacity) + 1

// Traffic counts messages and their bytes, frame headers included.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

type traffic struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

func (t *traffic) add(bytes int) {
	t.messages.Add(1)
	t.bytes.Add(uint64(bytes))
}

func (t *traffic) read() Traffic {
	return Traffic{Messages: t.messages.Load(), Bytes: t.bytes.Load()}
}

// Counters counts what a transport carried and refused. The zero value is
// ready. It is safe for concurrent use.
type Counters struct {
	sent     [kindCount]traffic
	received [kindCount]traffic
	refused  [refusalCount]atomic.Uint64
}

// Sent counts one message that left, a request or an answer.
func (c *Counters) Sent(kind Kind, bytes int) { c.sent[index(kind)].add(bytes) }

// Received counts one message that came, a request or an answer.
func (c *Counters) Received(kind Kind, bytes int) { c.received[index(kind)].add(bytes) }

// Refused counts one refusal.
func (c *Counters) Refused(r Refusal) { c.refused[r].Add(1) }

// Counts holds the counters at one moment.
type Counts struct {
	Sent     map[Kind]Traffic
	Received map[Kind]Traffic
	Refused  map[Refusal]uint64
}

// Read returns the counters that are not zero.
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

// Total returns the sum over the kinds, both directions.
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

func readTraffic(table *[kindCount]traffic) map[Kind]Traffic {
	out := make(map[Kind]Traffic)
	for i := range table {
		if t := table[i].read(); t.Messages > 0 {
			out[Kind(i)] = t
		}
	}
	return out
}

func index(kind Kind) int {
	if int(kind) >= kindCount {
		return 0
	}
	return int(kind)
}
