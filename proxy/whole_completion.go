package proxy

import "strings"

// wholeCompletion collects a completion's answer over all attempts.
type wholeCompletion struct {
	// firstChunk gives the ID, creation time and model of the completion.
	firstChunk   chunk
	text         strings.Builder
	finishReason string
	usage        *usage
}

// add appends a chunk's text. If the chunk states a finish reason or usage, add
// stores it.
func (w *wholeCompletion) add(c *chunk) {
	if w.firstChunk.ID == "" {
		w.firstChunk = *c
	}
	w.text.WriteString(c.content())
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != "" {
		w.finishReason = c.Choices[0].FinishReason
	}
	if c.Usage != nil {
		w.usage = c.Usage
	}
}

// body returns the completion as the JSON body of a response that is not
// streamed.
func (w *wholeCompletion) body() []byte {
	return encode(completion{
		ID:      w.firstChunk.ID,
		Object:  "chat.completion",
		Created: w.firstChunk.Created,
		Model:   w.firstChunk.Model,
		Choices: []completionChoice{{
			Message:      answerMessage{Role: "assistant", Content: w.text.String()},
			FinishReason: w.finishReason,
		}},
		Usage: w.usage,
	})
}

// completion is a response of the OpenAI protocol that is not streamed.
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
