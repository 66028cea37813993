package engine

import (
	"time"
)

// state is where a stream stands.
type state uint8

const (
	stateWaiting state = iota
	stateRunning
	stateDone
	stateCancelled
	stateCrashed
)

// stream is one request and its answer so far. The engine's lock guards the
// fields after job.
type stream struct {
	job     *job
	created time.Time
	arrival uint64

	state   state
	started bool
	// prefillLeft counts the prompt tokens still to compute, cached those that
	// the prefix cache held.
	prefillLeft int
	cached      int
	// computed counts the tokens of the answer so far.
	computed int
	// sent is the highest frame that was written to a connection.
	sent int
	// connections counts the callers that read the stream.
	connections int
	// wasCut says that the fault CutAfterTokens has struck.
	wasCut bool
	// expiry ends the stream when nobody comes back for it.
	expiry *time.Timer
	// changed is closed and replaced when there is something new.
	changed chan struct{}
}

func newStream(j *job, arrival uint64) *stream {
	return &stream{job: j, created: time.Now(), arrival: arrival, changed: make(chan struct{})}
}

// announce wakes the connections. The caller holds the engine's lock.
func (s *stream) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// over reports whether nothing more will be computed.
func (s *stream) over() bool { return s.state >= stateDone }

// available returns the highest frame that can be sent.
func (s *stream) available() int {
	if s.state == stateDone {
		return s.frames()
	}
	return s.computed
}

// before orders the waiting streams: by priority, then by arrival.
func (s *stream) before(other *stream) int {
	if s.job.priority != other.job.priority {
		return s.job.priority - other.job.priority
	}
	return int(int64(s.arrival - other.arrival))
}
