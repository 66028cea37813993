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
	// Error is set in the last frame of a stream that failed at the backend
	// server.
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

// usage holds the token counts of a completion.
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

// content returns the text that the chunk adds to the answer.
func (c *chunk) content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// onlyRole reports whether the chunk states the role of the answer and adds no
// text.
func (c *chunk) onlyRole() bool {
	if len(c.Choices) == 0 {
		return false
	}
	choice := c.Choices[0]
	return choice.Delta.Role != "" && choice.Delta.Content == "" && choice.FinishReason == ""
}

// onlyUsage reports whether the chunk holds the usage and nothing else.
func (c *chunk) onlyUsage() bool { return len(c.Choices) == 0 && c.Usage != nil }

// replaceID returns a frame's data with newID in place of oldID as the ID of the
// chunk. If the two IDs are equal or newID is empty, it returns the data
// unchanged.
func replaceID(data, oldID, newID string) string {
	if oldID == newID || newID == "" {
		return data
	}
	return strings.Replace(data, string(encode(oldID)), string(encode(newID)), 1)
}
