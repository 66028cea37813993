package engine

import (
	"encoding/json"
	"fmt"
	"io"
)

// chunk is one chunk of a streamed response of the OpenAI protocol. A whole
// response has the same fields.
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

// Names defined by the OpenAI protocol.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	roleAssistant    = "assistant"
	doneData         = "[DONE]"
)

// frameCount returns the number of frames of the whole stream: one frame for each
// token, one with the finish reason, one with the usage if the request asked for
// usage, and one that marks the end.
func (s *stream) frameCount() int {
	count := s.job.endToken - s.job.firstToken + 2
	if s.job.includeUsage {
		count++
	}
	return count
}

// frameData returns the data of the frame with the given number, counted from
// 1.
func (s *stream) frameData(id int) string {
	tokens := s.job.endToken - s.job.firstToken
	switch {
	case id <= tokens:
		return s.tokenFrame(id)
	case id == tokens+1:
		return s.encode(choice{Delta: &delta{}, FinishReason: &s.job.finishReason})
	case id == tokens+2 && s.job.includeUsage:
		return s.usageFrame()
	default:
		return doneData
	}
}

// tokenFrame returns the data of a frame with one token of the answer.
func (s *stream) tokenFrame(id int) string {
	d := delta{Content: s.job.digest.Token(s.job.firstToken + id - 1)}
	if id == 1 {
		d.Role = roleAssistant
	}
	return s.encode(choice{Delta: &d})
}

// encode returns the data of a frame with the given choice.
func (s *stream) encode(c choice) string {
	out := s.envelope(objectChunk)
	out.Choices = []choice{c}
	return mustEncode(out)
}

// usageFrame returns the data of the frame with the token counts.
func (s *stream) usageFrame() string {
	out := s.envelope(objectChunk)
	out.Choices = []choice{}
	out.Usage = s.usage()
	return mustEncode(out)
}

// completion returns the response to a request that is not streamed.
func (s *stream) completion() chunk {
	out := s.envelope(objectCompletion)
	text := s.job.digest.Text(s.job.firstToken, s.job.endToken)
	message := chatMessage{Role: roleAssistant, Content: text}
	out.Choices = []choice{{Message: &message, FinishReason: &s.job.finishReason}}
	out.Usage = s.usage()
	return out
}

// envelope returns a chunk without choices and usage.
func (s *stream) envelope(object string) chunk {
	return chunk{
		ID:      "chatcmpl-" + s.job.attempt,
		Object:  object,
		Created: s.created.Unix(),
		Model:   s.job.model,
	}
}

func (s *stream) usage() *usage {
	tokens := s.job.endToken - s.job.firstToken
	return &usage{
		PromptTokens:     s.job.promptTokens,
		CompletionTokens: tokens,
		TotalTokens:      s.job.promptTokens + tokens,
		Details:          promptDetails{CachedTokens: s.cachedTokens},
	}
}

// mustEncode encodes a chunk as JSON. Encoding a chunk cannot fail.
func mustEncode(v chunk) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// writeFrame writes one frame as a server-sent event.
func writeFrame(w io.Writer, id int, data string) error {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err
}
