// Package serverstate keeps what backend servers say of themselves in their responses: that
// they leave, and that they ask for time.
//
// Guarantees: a run of a server that said that it leaves gets nothing new from this instance,
// also if the metadata store still lists it, or lists it again. A server that asked for time
// gets nothing from this instance until that time is over, whatever its later responses say.
package serverstate

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// leavingMemory is how long a server that said that it leaves is remembered. It is longer
	// than any server takes to leave.
	leavingMemory = 10 * time.Minute
	// maxServers bounds the table. It is above the number of servers of any deployment.
	maxServers = 4096
	// maxReported bounds the servers in one datagram.
	maxReported = 16
	// reportedFor is how long others are told that a server leaves. By then its entry says so.
	reportedFor = 10 * time.Second
)

// Statement is what one response says of its server.
type Statement struct {
	Leaving bool
	// RetryAfter is the time for which the server asks to be left alone, or 0.
	RetryAfter time.Duration
}

// Table holds the statements of servers, by a key that stands for one run of a server. It is
// safe for concurrent use.
type Table struct {
	log *slog.Logger

	mu      sync.Mutex
	leaving map[uint64]time.Time
	// resting holds until when servers that asked for time are left alone.
	resting map[uint64]time.Time
}

// New returns an empty table, which logs changes.
func New(log *slog.Logger) *Table {
	return &Table{log: log, leaving: make(map[uint64]time.Time), resting: make(map[uint64]time.Time)}
}

// Record takes in what a response of the server says. id is the server's ID, for the log.
func (t *Table) Record(key uint64, id string, s Statement, now time.Time) {
	if s == (Statement{}) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Leaving {
		t.learnLeaving(key, id, "response", now)
	}
	until := now.Add(s.RetryAfter)
	if s.RetryAfter > 0 && until.After(t.resting[key]) && len(t.resting) < maxServers {
		if _, known := t.resting[key]; !known {
			t.log.Info("server asks for time", "server", id, "retry_after_ms", s.RetryAfter.Milliseconds())
		}
		t.resting[key] = until
	}
}

func (t *Table) learnLeaving(key uint64, id, source string, now time.Time) {
	if _, known := t.leaving[key]; known || len(t.leaving) >= maxServers {
		return
	}
	t.leaving[key] = now
	t.log.Info("server says that it leaves", "server", id, "key", key, "source", source)
}

// Availability says whether a server may get a request.
type Availability struct {
	Leaving bool
	// RestsFor is how long the server is still left alone, or 0.
	RestsFor time.Duration
}

// Open reports whether the server may get a request.
func (a Availability) Open() bool { return a == Availability{} }

// Availability returns whether the server may get a request now.
func (t *Table) Availability(key uint64, now time.Time) Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.leaving[key]
	return Availability{Leaving: leaving, RestsFor: max(t.resting[key].Sub(now), 0)}
}

// Leaving returns the servers of which others should learn that they leave.
func (t *Table) Leaving(now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []uint64
	for key, at := range t.leaving {
		if now.Sub(at) < reportedFor && len(keys) < maxReported {
			keys = append(keys, key)
		}
	}
	return keys
}

// Learn takes in the servers of which a peer says that they leave.
func (t *Table) Learn(keys []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		t.learnLeaving(key, "", "peer", now)
	}
}

// Expire forgets what no longer matters. It has to be called from time to time.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, at := range t.leaving {
		if now.Sub(at) >= leavingMemory {
			delete(t.leaving, key)
		}
	}
	for key, until := range t.resting {
		if now.After(until) {
			delete(t.resting, key)
		}
	}
}

// Counts returns how many servers leave, and how many asked for time.
func (t *Table) Counts() (leaving, resting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.leaving), len(t.resting)
}
