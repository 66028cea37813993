package proxy

import (
	"net/http"
	"time"
)

// answer takes the frames of a completion towards the caller.
type answer interface {
	// frame takes the next chunk. It fails if the caller left.
	frame(c *chunk, data string) error
	// finish ends a completed answer.
	finish() error
	// fail ends the answer with a refusal.
	fail(r *Refusal)
}

// streamAnswer relays frames as they come.
type streamAnswer struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	wantUsage bool
	// timeout bounds each write.
	timeout time.Duration
	begun   bool
}

func newStreamAnswer(w http.ResponseWriter, wantUsage bool, timeout time.Duration) *streamAnswer {
	return &streamAnswer{w: w, control: http.NewResponseController(w), wantUsage: wantUsage, timeout: timeout}
}

func (a *streamAnswer) frame(c *chunk, data string) error {
	if c.onlyUsage() && !a.wantUsage {
		return nil
	}
	return a.event(data)
}

func (a *streamAnswer) event(data string) error {
	if !a.begun {
		a.begun = true
		h := a.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
	}
	// In-memory writers of tests have no deadlines.
	_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
	if _, err := a.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *streamAnswer) finish() error { return a.event("[DONE]") }

func (a *streamAnswer) fail(r *Refusal) {
	if !a.begun {
		r.write(a.w)
		return
	}
	// A failed write means that the caller left.
	_ = a.event(string(r.json()))
}

// wholeAnswer waits for the end and answers once.
type wholeAnswer struct {
	w        http.ResponseWriter
	gathered *gathered
}

func (a *wholeAnswer) frame(*chunk, string) error { return nil }

func (a *wholeAnswer) finish() error {
	a.w.Header().Set("Content-Type", "application/json")
	_, err := a.w.Write(a.gathered.body())
	return err
}

func (a *wholeAnswer) fail(r *Refusal) { r.write(a.w) }
