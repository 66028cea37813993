// Package serverstate keeps what backend servers say of themselves in their responses: that
// they leave, that they ask for time, and that they are brittle.
//
// Guarantees: a run of a server that said that it leaves gets nothing new from this instance,
// also if the metadata store still lists it, or lists it again. A server that asked for time
// gets nothing from this instance until that time is over, whatever its later responses say. A
// brittle server that turned a request away gets nothing from this instance for a time that
// grows with the number of instances. Up to maxBrittleRest, all instances together then have it
// turn away half of what it bears; with more than five instances for each refusal a second that
// it bears, that bound is lost. What is on its way may be turned away in any case.
package serverstate

import (
	"log/slog"
	"math/rand/v2"
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

const (
	// brittleMemory is how long a server counts as brittle after its last response.
	brittleMemory = 30 * time.Second
	// minBrittleRest and maxBrittleRest bound how long a brittle server is left alone after
	// it turned a request away.
	minBrittleRest = 500 * time.Millisecond
	maxBrittleRest = 5 * time.Second
	// brittleRestSpread is the part of that time that is drawn at random on top of it.
	brittleRestSpread = 0.5
)

// Statement is what one response says of its server.
type Statement struct {
	Leaving bool
	// RetryAfter is the time for which the server asks to be left alone, or 0.
	RetryAfter time.Duration
	// Brittle is set if the server falls over when it has to turn away more than Bears
	// requests in a second for want of room.
	Brittle bool
	Bears   float64
	// TurnedAway is set if this response turned its request away.
	TurnedAway bool
}

// brittle is the state of a server that said that it is brittle.
type brittle struct {
	bears float64
	at    time.Time
}

// Table holds the statements of servers, by a key that stands for one run of a server. It is
// safe for concurrent use.
type Table struct {
	log *slog.Logger

	mu      sync.Mutex
	leaving map[uint64]time.Time
	// resting holds until when servers that asked for time are left alone.
	resting map[uint64]time.Time
	brittle map[uint64]brittle
	// instances returns the number of instances that send requests.
	instances func() int
}

// New returns an empty table, which logs changes. instances returns the number of instances
// that send requests, including this one.
func New(log *slog.Logger, instances func() int) *Table {
	return &Table{
		log: log, instances: instances,
		leaving: make(map[uint64]time.Time), resting: make(map[uint64]time.Time), brittle: make(map[uint64]brittle),
	}
}

// Record takes in what a response of the server says. id is the server's ID, for the log.
func (t *Table) Record(key uint64, id string, s Statement, now time.Time) {
	instances := t.instances()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Leaving {
		t.learnLeaving(key, id, "response", now)
	}
	t.recordBrittle(key, id, s, now)
	if s.Brittle && s.TurnedAway {
		s.RetryAfter = max(s.RetryAfter, restOfBrittle(s.Bears, instances))
	}
	until := now.Add(s.RetryAfter)
	if s.RetryAfter > 0 && until.After(t.resting[key]) && len(t.resting) < maxServers {
		if _, known := t.resting[key]; !known {
			t.log.Info("server asks for time", "server", id, "retry_after_ms", s.RetryAfter.Milliseconds())
		}
		t.resting[key] = until
	}
}

// recordBrittle takes in whether the server is brittle.
func (t *Table) recordBrittle(key uint64, id string, s Statement, now time.Time) {
	before, known := t.brittle[key]
	switch {
	case s.Brittle && (known || len(t.brittle) < maxServers):
		t.brittle[key] = brittle{s.Bears, now}
	case known:
		delete(t.brittle, key)
	}
	if known != s.Brittle || s.Brittle && before.bears != s.Bears {
		t.log.Info("server brittleness changed", "server", id, "brittle", s.Brittle, "bears_per_s", s.Bears)
	}
}

// restOfBrittle is how long an instance leaves a brittle server alone that turned a request
// away. If each instance does so, all of them together have it turn away half of what it bears,
// unless that would take longer than maxBrittleRest.
func restOfBrittle(bears float64, instances int) time.Duration {
	perInstance := bears / 2 / float64(max(instances, 1))
	if perInstance <= 0 {
		return maxBrittleRest
	}
	rest := time.Duration(float64(time.Second) / perInstance)
	spread := 1 + brittleRestSpread*rand.Float64()
	return min(max(time.Duration(float64(rest)*spread), minBrittleRest), maxBrittleRest)
}

// Brittle reports whether the server is brittle.
func (t *Table) Brittle(key uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, is := t.brittle[key]
	return is
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
	for key, b := range t.brittle {
		if now.Sub(b.at) >= brittleMemory {
			delete(t.brittle, key)
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
