package eventlog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written.
	bufferBytes = 512 << 10
	// flushInterval is how long a line may wait while the reader keeps up.
	flushInterval = 50 * time.Millisecond
	// writeBytes bounds the lines of one write, unless a single one is longer: a
	// pipe takes that many at once, so lines of several processes that share a
	// reader are not torn.
	writeBytes = 4096
	// closeWait bounds the wait for a reader at the end of the process.
	closeWait = 200 * time.Millisecond
)

// class orders lines by how long they are kept from being dropped.
type class uint8

const (
	successes class = iota
	failures
	beliefs
	classCount
)

var classNames = [classCount]string{"successes", "failures", "beliefs"}

// fill is up to which part of the buffer lines of each class are taken.
var fill = [classCount]float64{0.5, 0.8, 1}

// Log is a bounded log with one logger for each class of lines.
type Log struct {
	// Successes takes lines of requests that went well, Failures those of
	// requests that did not, StateChanges those of what the process believes.
	Successes    *slog.Logger
	Failures     *slog.Logger
	StateChanges *slog.Logger

	out     io.Writer
	mu      sync.Mutex
	pending []byte
	dropped [classCount]int64
	total   [classCount]int64
	closing chan struct{}
	closed  chan struct{}
}

// New returns a log that writes to out. Close ends it.
func New(out io.Writer) *Log {
	l := &Log{out: out, closing: make(chan struct{}), closed: make(chan struct{})}
	l.Successes = l.logger(successes)
	l.Failures = l.logger(failures)
	l.StateChanges = l.logger(beliefs)
	go l.run()
	return l
}

func (l *Log) logger(c class) *slog.Logger {
	return slog.New(slog.NewJSONHandler(sink{l, c}, nil))
}

// Dropped returns how many lines of successes, failures and beliefs were
// dropped so far.
func (l *Log) Dropped() [3]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Close writes what is pending, unless the reader takes too long.
func (l *Log) Close() {
	close(l.closing)
	select {
	case <-l.closed:
	case <-time.After(closeWait):
	}
}

// sink takes the lines of a class.
type sink struct {
	log   *Log
	class class
}

// Write takes one line. It never fails and never waits.
func (s sink) Write(line []byte) (int, error) {
	l := s.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(len(l.pending)+len(line)) > fill[s.class]*bufferBytes {
		l.dropped[s.class]++
		l.total[s.class]++
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

func (l *Log) run() {
	defer close(l.closed)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var batch []byte
	for {
		closing := false
		select {
		case <-ticker.C:
		case <-l.closing:
			closing = true
		}
		batch = l.swap(batch)
		l.write(batch)
		l.tellDropped()
		if closing {
			return
		}
	}
}

// write writes whole lines, as many at once as a pipe takes.
func (l *Log) write(batch []byte) {
	for len(batch) > 0 {
		n := wholeLines(batch)
		// Without a reader there is nowhere to tell of a failure.
		_, _ = l.out.Write(batch[:n])
		batch = batch[n:]
	}
}

// wholeLines is how many bytes of a batch to write at once.
func wholeLines(batch []byte) int {
	if len(batch) <= writeBytes {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:writeBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(batch, '\n') + 1
}

// swap takes the pending lines and hands back the buffer of the last batch.
func (l *Log) swap(spare []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.pending
	l.pending = spare[:0]
	return batch
}

func (l *Log) tellDropped() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = [classCount]int64{}
	l.mu.Unlock()
	if dropped == ([classCount]int64{}) {
		return
	}
	args := make([]any, 0, 2*classCount)
	for c, n := range dropped {
		args = append(args, classNames[c], n)
	}
	l.StateChanges.Warn("lines dropped", args...)
}
