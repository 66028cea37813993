package proxy

import (
	"net/http"
	"strings"
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
	begun     bool
}

func newStreamAnswer(w http.ResponseWriter, wantUsage bool) *streamAnswer {
	return &streamAnswer{w: w, control: http.NewResponseController(w), wantUsage: wantUsage}
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

// wholeAnswer gathers the frames and answers once.
type wholeAnswer struct {
	w      http.ResponseWriter
	first  chunk
	text   strings.Builder
	reason string
	usage  *usage
}

func (a *wholeAnswer) frame(c *chunk, _ string) error {
	if a.first.ID == "" {
		a.first = *c
	}
	a.text.WriteString(c.content())
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != "" {
		a.reason = c.Choices[0].FinishReason
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	return nil
}

// completion is the answer of the OpenAI protocol that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *wholeAnswer) finish() error {
	a.w.Header().Set("Content-Type", "application/json")
	_, err := a.w.Write(a.body())
	return err
}

// body returns the gathered answer as JSON.
func (a *wholeAnswer) body() []byte {
	return encode(completion{
		ID:      a.first.ID,
		Object:  "chat.completion",
		Created: a.first.Created,
		Model:   a.first.Model,
		Choices: []completionChoice{{
			Message:      answerMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: a.reason,
		}},
		Usage: a.usage,
	})
}

func (a *wholeAnswer) fail(r *Refusal) { r.write(a.w) }
