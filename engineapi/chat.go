package engineapi

import (
	"encoding/json"
	"hash/fnv"
	"strings"
)

// Message is one message of a chat, with the fields that the router and the
// engines read.
type Message struct {
	Role string `json:"role"`
	// Content is a string or a list of content parts.
	Content json.RawMessage `json:"content"`
}

// contentPart is one element of a message's content if the content is a list.
type contentPart struct {
	Text string `json:"text"`
}

// Text returns the message's text. If the content is a list, Text joins the
// texts of the content parts. If the content is neither a string nor a list of
// content parts, Text returns the empty string.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	return joined.String()
}

// bytesPerToken is the assumed average length of a token's text, in bytes of
// UTF-8.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a text of textBytes
// bytes.
func EstimateTokens(textBytes int) int {
	return (textBytes + bytesPerToken - 1) / bytesPerToken
}

// PromptPrefix returns the digest and the number of tokens of the prompt prefix
// that engines cache. The prefix is the first message, if other messages follow
// it. For a prompt without a prefix, the digest is 0. CacheEvent contains the
// same digest.
func PromptPrefix(messages []Message) (digest uint64, tokens int) {
	if len(messages) < 2 {
		return 0, 0
	}
	text := messages[0].Text()
	hash := fnv.New64a()
	hash.Write([]byte(messages[0].Role))
	hash.Write([]byte{0})
	hash.Write([]byte(text))
	return hash.Sum64(), EstimateTokens(len(text))
}

// PromptTokens returns the estimated number of tokens in all messages.
func PromptTokens(messages []Message) int {
	total := 0
	for _, message := range messages {
		total += EstimateTokens(len(message.Text()))
	}
	return total
}
