package engine

import (
	"time"
)

// state is the state of a stream.
type state uint8

const (
	stateWaiting state = iota
	stateRunning
	stateDone
	stateCancelled
	stateCrashed
)

// stream is one accepted request and the progress of its answer. The engine's
// lock guards the fields below arrival.
type stream struct {
	job     *job
	created time.Time
	// arrival numbers the accepted requests in the order of their arrival.
	arrival uint64

	state state
	// started is true if the request has entered the batch.
	started bool
	// prefillLeft is the number of prompt tokens that are not computed yet.
	// cachedTokens is the number of prompt tokens found in the prefix cache.
	prefillLeft  int
	cachedTokens int
	// computedTokens is the number of tokens of the answer computed so far.
	computedTokens int
	// lastDelivered is the highest number of a frame that was written to a
	// connection.
	lastDelivered int
	// connections is the number of callers that are reading the stream.
	connections int
	// wasCut is true if the fault CutAfterTokens has cut a connection of the
	// stream.
	wasCut bool
	// holdTimer drops the stream after the hold time. It is nil while the stream
	// has a connection.
	holdTimer *time.Timer
	// changed is closed and replaced at each change of the stream.
	changed chan struct{}
}

func newStream(j *job, arrival uint64) *stream {
	return &stream{job: j, created: time.Now(), arrival: arrival, changed: make(chan struct{})}
}

// notifyChange wakes the connections of the stream. The caller holds the
// engine's lock.
func (s *stream) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ended reports whether the stream is done, cancelled or crashed.
func (s *stream) ended() bool { return s.state >= stateDone }

// lastAvailable returns the number of the last frame that can be sent.
func (s *stream) lastAvailable() int {
	if s.state == stateDone {
		return s.frameCount()
	}
	return s.computedTokens
}

// compareQueueOrder compares waiting streams by priority and then by arrival.
// The result is negative if s comes first.
func (s *stream) compareQueueOrder(other *stream) int {
	if s.job.priority != other.job.priority {
		return s.job.priority - other.job.priority
	}
	return int(int64(s.arrival - other.arrival))
}
