package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestBlockedReaderDoesNotBlockCallers logs far more than the buffer holds while
// nothing is read. Lines about successes must be dropped before those about
// failures, and no line about state changes may be dropped.
func TestBlockedReaderDoesNotBlockCallers(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out)
	startTime := time.Now()
	text := strings.Repeat("x", 200)
	for range 20_000 {
		l.Successes.Info("answered", "detail", text)
	}
	for range 20_000 {
		l.Failures.Warn("refused", "detail", text)
	}
	for n := range 100 {
		l.StateChanges.Info("catalog changed", "n", n)
	}
	if elapsed := time.Since(startTime); elapsed > 5*time.Second {
		t.Errorf("logging took %v, want at most 5 s", elapsed)
	}
	dropped := l.Dropped()
	close(out.release)
	l.Close()
	if dropped[0] == 0 || dropped[1] == 0 || dropped[2] != 0 {
		t.Errorf("dropped lines about successes, failures and state changes: got %v, want some, some and none", dropped)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	counts := make(map[string]int)
	for line := range strings.Lines(out.written.String()) {
		var entry struct{ Msg string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("invalid JSON line: %v: %q", err, line)
		}
		counts[entry.Msg]++
	}
	if counts["refused"] == 0 || counts["catalog changed"] != 100 || counts["answered"] == 0 {
		t.Errorf("lines that were written: got %v, want some answered, some refused and 100 of the catalog", counts)
	}
}

// TestDroppedLinesAreReported fills the buffer while nothing is read. Once the reader reads
// again, a line must say how many lines were dropped.
func TestDroppedLinesAreReported(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out)
	for range 10_000 {
		l.Successes.Info("answered", "detail", strings.Repeat("x", 200))
	}
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		out.mu.Lock()
		reported := strings.Contains(out.written.String(), `"msg":"lines dropped","successes":`)
		out.mu.Unlock()
		if reported {
			l.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("dropped lines were not reported within 5 s")
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	l := New(out)
	l.StateChanges.Info("one")
	l.Failures.Info("two")
	l.Successes.Info("three")
	l.Close()
	text := out.written.String()
	if one, two, three := strings.Index(text, "one"), strings.Index(text, "two"), strings.Index(text, "three"); one < 0 || one > two || two > three {
		t.Errorf("got %q, want the lines one, two and three in this order", text)
	}
}

// recordingWriter records each write separately.
type recordingWriter struct {
	mu     sync.Mutex
	writes []string
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// TestWritesContainWholeLines has many lines wait for one flush. Several processes
// may log to the same pipe, and a write to a pipe is atomic only up to 4096 bytes. Lines
// of different processes don't mix only if each write is that small and ends with the end
// of a line.
func TestWritesContainWholeLines(t *testing.T) {
	out := &recordingWriter{}
	l := New(out)
	for n := range 200 {
		l.StateChanges.Info("line", "n", n, "detail", strings.Repeat("x", n))
	}
	l.StateChanges.Info("long line", "detail", strings.Repeat("x", 3*4096))
	l.StateChanges.Info("last line")
	l.Close()
	lines := 0
	for _, write := range out.writes {
		n := strings.Count(write, "\n")
		if !strings.HasSuffix(write, "\n") || len(write) > 4096 && n != 1 {
			t.Errorf("a write of %d bytes has %d lines, want whole lines of at most 4096 bytes in all, or one longer line", len(write), n)
		}
		lines += n
	}
	if lines != 202 {
		t.Errorf("%d lines were written, want 202", lines)
	}
}
