package engine

import (
	"encoding/json"
	"fmt"
	"io"
)

// chunk is one event of a streamed answer, in the OpenAI protocol's form.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *delta       `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Names of the OpenAI protocol.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	roleAssistant    = "assistant"
	doneMark         = "[DONE]"
)

// frames returns how many events the whole stream has: one for each token, one
// with the finish reason, the usage if wanted, and the end mark.
func (s *stream) frames() int {
	count := s.job.end - s.job.first + 2
	if s.job.includeUsage {
		count++
	}
	return count
}

// frame returns the data of the event with the id, counted from 1.
func (s *stream) frame(id int) string {
	tokens := s.job.end - s.job.first
	switch {
	case id <= tokens:
		return s.tokenFrame(id)
	case id == tokens+1:
		return s.encode(choice{Delta: &delta{}, FinishReason: &s.job.finish})
	case id == tokens+2 && s.job.includeUsage:
		return s.usageFrame()
	default:
		return doneMark
	}
}

func (s *stream) tokenFrame(id int) string {
	d := delta{Content: s.job.digest.Token(s.job.first + id - 1)}
	if id == 1 {
		d.Role = roleAssistant
	}
	return s.encode(choice{Delta: &d})
}

func (s *stream) encode(c choice) string {
	out := s.envelope(objectChunk)
	out.Choices = []choice{c}
	return mustEncode(out)
}

func (s *stream) usageFrame() string {
	out := s.envelope(objectChunk)
	out.Choices = []choice{}
	out.Usage = s.usage()
	return mustEncode(out)
}

// completion returns the answer to a request that is not streamed.
func (s *stream) completion() chunk {
	out := s.envelope(objectCompletion)
	text := s.job.digest.Text(s.job.first, s.job.end)
	message := chatMessage{Role: roleAssistant, Content: text}
	out.Choices = []choice{{Message: &message, FinishReason: &s.job.finish}}
	out.Usage = s.usage()
	return out
}

func (s *stream) envelope(object string) chunk {
	return chunk{
		ID:      "chatcmpl-" + s.job.attempt,
		Object:  object,
		Created: s.created.Unix(),
		Model:   s.job.model,
	}
}

func (s *stream) usage() *usage {
	tokens := s.job.end - s.job.first
	return &usage{
		PromptTokens:     s.job.promptTokens,
		CompletionTokens: tokens,
		TotalTokens:      s.job.promptTokens + tokens,
		Details:          promptDetails{CachedTokens: s.cached},
	}
}

// mustEncode encodes a value of this file. It cannot fail for them.
func mustEncode(v chunk) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// writeFrame writes one server-sent event.
func writeFrame(w io.Writer, id int, data string) error {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err
}
