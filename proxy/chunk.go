package proxy

import (
	"encoding/json"
	"strings"
)

// chunk is one frame of a streamed completion.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
	// Error is set in a frame with which a server ends a stream.
	Error json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usage counts the tokens of a completion.
type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails *usageDetails `json:"prompt_tokens_details,omitempty"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (u *usage) cached() int {
	if u.PromptTokensDetails == nil {
		return 0
	}
	return u.PromptTokensDetails.CachedTokens
}

// content returns the text that the chunk adds.
func (c *chunk) content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// onlyRole tells whether the chunk opens an answer and adds nothing to it.
func (c *chunk) onlyRole() bool {
	if len(c.Choices) == 0 {
		return false
	}
	choice := c.Choices[0]
	return choice.Delta.Role != "" && choice.Delta.Content == "" && choice.FinishReason == ""
}

// onlyUsage tells whether the chunk carries the usage and nothing else.
func (c *chunk) onlyUsage() bool { return len(c.Choices) == 0 && c.Usage != nil }

// withID returns the frame's data with another chunk id.
func withID(data, from, to string) string {
	if from == to || to == "" {
		return data
	}
	return strings.Replace(data, string(encode(from)), string(encode(to)), 1)
}
