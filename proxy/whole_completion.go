package proxy

import "strings"

// gathered is a completion's answer so far, over all attempts.
type gathered struct {
	first  chunk
	text   strings.Builder
	reason string
	usage  *usage
}

// take adds a chunk.
func (g *gathered) take(c *chunk) {
	if g.first.ID == "" {
		g.first = *c
	}
	g.text.WriteString(c.content())
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != "" {
		g.reason = c.Choices[0].FinishReason
	}
	if c.Usage != nil {
		g.usage = c.Usage
	}
}

// body returns the answer in the form that is not streamed.
func (g *gathered) body() []byte {
	return encode(completion{
		ID:      g.first.ID,
		Object:  "chat.completion",
		Created: g.first.Created,
		Model:   g.first.Model,
		Choices: []completionChoice{{
			Message:      answerMessage{Role: "assistant", Content: g.text.String()},
			FinishReason: g.reason,
		}},
		Usage: g.usage,
	})
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
