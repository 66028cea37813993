package proxy

import (
	"net/http"
	"time"
)

// callerResponse writes the chunks of a completion to the caller.
type callerResponse interface {
	// writeChunk handles the next chunk; data is the chunk's JSON. It returns an
	// error if the caller left.
	writeChunk(c *chunk, data string) error
	// finish ends a completed response.
	finish() error
	// fail ends the response with a refusal.
	fail(r *Refusal)
}

// streamResponse passes each chunk on as it arrives.
type streamResponse struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	wantUsage bool
	// timeout limits the time of each write.
	timeout time.Duration
	started bool
}

func newStreamResponse(w http.ResponseWriter, wantUsage bool, timeout time.Duration) *streamResponse {
	return &streamResponse{w: w, control: http.NewResponseController(w), wantUsage: wantUsage, timeout: timeout}
}

func (resp *streamResponse) writeChunk(c *chunk, data string) error {
	if c.onlyUsage() && !resp.wantUsage {
		return nil
	}
	return resp.writeEvent(data)
}

// writeEvent sends data as one event and flushes it. The first event is preceded
// by the response header.
func (resp *streamResponse) writeEvent(data string) error {
	if !resp.started {
		resp.started = true
		h := resp.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		resp.w.WriteHeader(http.StatusOK)
	}
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = resp.control.SetWriteDeadline(time.Now().Add(resp.timeout))
	if _, err := resp.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return resp.control.Flush()
}

func (resp *streamResponse) finish() error { return resp.writeEvent("[DONE]") }

func (resp *streamResponse) fail(r *Refusal) {
	if !resp.started {
		r.write(resp.w)
		return
	}
	// The error is ignored: a failed write means that the caller left.
	_ = resp.writeEvent(string(r.body()))
}

// wholeResponse writes the whole completion once it has ended.
type wholeResponse struct {
	w     http.ResponseWriter
	whole *wholeCompletion
}

func (resp *wholeResponse) writeChunk(*chunk, string) error { return nil }

func (resp *wholeResponse) finish() error {
	resp.w.Header().Set("Content-Type", "application/json")
	_, err := resp.w.Write(resp.whole.body())
	return err
}

func (resp *wholeResponse) fail(r *Refusal) { r.write(resp.w) }
