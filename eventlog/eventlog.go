package eventlog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// bufferBytes is the size of the buffer of lines that wait to be written.
	bufferBytes = 512 << 10
	// flushInterval is the time between two flushes of the buffer, and so the longest
	// time that a line waits while the reader keeps up.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes bounds one write, unless a single line is longer. Writes to a
	// pipe are atomic up to this size, so the lines of several processes that share
	// a pipe are not interleaved.
	maxWriteBytes = 4096
	// closeTimeout bounds how long Close waits for the reader of the log.
	closeTimeout = 200 * time.Millisecond
)

// class is a class of log lines. When the buffer fills, lines of the classes with lower
// values are dropped first.
type class uint8

const (
	successes class = iota
	failures
	stateChanges
	classCount
)

var classNames = [classCount]string{"successes", "failures", "beliefs"}

// maxFill is the fraction of the buffer up to which lines of each class are
// accepted.
var maxFill = [classCount]float64{0.5, 0.8, 1}

// Log is a bounded log with one logger for each class of lines.
type Log struct {
	// Successes logs lines about successful requests, Failures those about failed
	// requests, and StateChanges those about the instance's own state and its view
	// of servers, peers and the configuration.
	Successes    *slog.Logger
	Failures     *slog.Logger
	StateChanges *slog.Logger

	out     io.Writer
	mu      sync.Mutex
	pending []byte
	// droppedUnreported counts the lines that were dropped since the last line "lines
	// dropped", and droppedTotal all that were dropped.
	droppedUnreported [classCount]int64
	droppedTotal      [classCount]int64
	closing           chan struct{}
	closed            chan struct{}
}

// New returns a log that writes to out. The caller must close it.
func New(out io.Writer) *Log {
	l := &Log{out: out, closing: make(chan struct{}), closed: make(chan struct{})}
	l.Successes = l.newLogger(successes)
	l.Failures = l.newLogger(failures)
	l.StateChanges = l.newLogger(stateChanges)
	go l.run()
	return l
}

func (l *Log) newLogger(c class) *slog.Logger {
	return slog.New(slog.NewJSONHandler(classWriter{l, c}, nil))
}

// Dropped returns how many lines about successes, failures and state changes were
// dropped so far, in this order.
func (l *Log) Dropped() [3]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedTotal
}

// Close writes the pending lines and ends the log. It gives up after closeTimeout.
func (l *Log) Close() {
	close(l.closing)
	select {
	case <-l.closed:
	case <-time.After(closeTimeout):
	}
}

// classWriter adds the lines of one class to the buffer.
type classWriter struct {
	log   *Log
	class class
}

// Write adds one line, or drops it if the buffer is too full. It never fails and
// never waits for the output.
func (w classWriter) Write(line []byte) (int, error) {
	l := w.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(len(l.pending)+len(line)) > maxFill[w.class]*bufferBytes {
		l.droppedUnreported[w.class]++
		l.droppedTotal[w.class]++
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

// run writes the pending lines at each flushInterval until the log is closed.
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
		batch = l.takePending(batch)
		l.write(batch)
		l.logDropped()
		if closing {
			return
		}
	}
}

// write writes a batch in chunks of whole lines.
func (l *Log) write(batch []byte) {
	for len(batch) > 0 {
		n := wholeLinesLength(batch)
		// A failed write of the log can't be logged.
		_, _ = l.out.Write(batch[:n])
		batch = batch[n:]
	}
}

// wholeLinesLength returns how many bytes of a batch to write at once: as many whole
// lines as fit into maxWriteBytes, but at least one.
func wholeLinesLength(batch []byte) int {
	if len(batch) <= maxWriteBytes {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(batch, '\n') + 1
}

// takePending returns the pending lines. It reuses the memory of spare, the batch that
// was written before, for the lines to come.
func (l *Log) takePending(spare []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.pending
	l.pending = spare[:0]
	return batch
}

// logDropped logs how many lines were dropped since its last call, if any.
func (l *Log) logDropped() {
	l.mu.Lock()
	dropped := l.droppedUnreported
	l.droppedUnreported = [classCount]int64{}
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
