package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter takes nothing until it is released.
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

// TestBlockedReaderStopsNobody writes far more than the buffer holds while
// nothing is read. Lines of failures outlive those of successes, and lines of
// beliefs outlive both.
func TestBlockedReaderStopsNobody(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out)
	began := time.Now()
	text := strings.Repeat("x", 200)
	for range 20_000 {
		l.Successes.Info("answered", "detail", text)
	}
	for range 20_000 {
		l.Failures.Warn("refused", "detail", text)
	}
	for n := range 100 {
		l.StateChanges.Info("directory changed", "n", n)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("writing took %v", took)
	}
	dropped := l.Dropped()
	close(out.release)
	l.Close()
	if dropped[0] == 0 || dropped[1] == 0 || dropped[2] != 0 {
		t.Errorf("dropped successes, failures, beliefs: %v", dropped)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	counts := make(map[string]int)
	for line := range strings.Lines(out.written.String()) {
		var entry struct{ Msg string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("line does not parse: %v: %q", err, line)
		}
		counts[entry.Msg]++
	}
	if counts["refused"] == 0 || counts["directory changed"] != 100 || counts["answered"] == 0 {
		t.Errorf("lines that are left: %v", counts)
	}
}

func TestDroppedLinesAreTold(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out)
	for range 10_000 {
		l.Successes.Info("answered", "detail", strings.Repeat("x", 200))
	}
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		out.mu.Lock()
		told := strings.Contains(out.written.String(), `"msg":"lines dropped","successes":`)
		out.mu.Unlock()
		if told {
			l.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("nothing tells of dropped lines")
}

func TestLinesComeInOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	l := New(out)
	l.StateChanges.Info("one")
	l.Failures.Info("two")
	l.Successes.Info("three")
	l.Close()
	text := out.written.String()
	if one, two, three := strings.Index(text, "one"), strings.Index(text, "two"), strings.Index(text, "three"); one < 0 || one > two || two > three {
		t.Errorf("got %q", text)
	}
}

// writes keeps each write apart.
type writes struct {
	mu  sync.Mutex
	all []string
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, string(p))
	return len(p), nil
}

// TestWritesHoldWholeLines has many lines wait for one flush: a reader that
// several processes share tells their lines apart only if no write ends inside
// one, and a pipe takes a write at once only up to its size.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &writes{}
	l := New(out)
	for n := range 200 {
		l.StateChanges.Info("line", "n", n, "detail", strings.Repeat("x", n))
	}
	l.StateChanges.Info("long line", "detail", strings.Repeat("x", 3*4096))
	l.StateChanges.Info("last line")
	l.Close()
	lines := 0
	for _, w := range out.all {
		n := strings.Count(w, "\n")
		if !strings.HasSuffix(w, "\n") || len(w) > 4096 && n != 1 {
			t.Errorf("a write of %d bytes with %d lines", len(w), n)
		}
		lines += n
	}
	if lines != 202 {
		t.Errorf("%d lines", lines)
	}
}
