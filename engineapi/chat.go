package engineapi

import (
	"encoding/json"
	"hash/fnv"
	"strings"
)

// Message is one message of a chat, as far as the router and the engines need
// to read it.
type Message struct {
	Role string `json:"role"`
	// Content is a string or a list of parts.
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message whose content is a list.
type contentPart struct {
	Text string `json:"text"`
}

// Text returns the message's text, that of its parts joined. Content of any
// other form has none.
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

// bytesPerToken is the mean length of a token's text in UTF-8.
const bytesPerToken = 4

// EstimateTokens returns the tokens in a text of that many bytes.
func EstimateTokens(textBytes int) int {
	return (textBytes + bytesPerToken - 1) / bytesPerToken
}

// PromptPrefix returns the digest and the tokens of the part of a prompt that
// engines cache: the first message, if others follow it. CacheEvent carries
// the same digest. A prompt of one message has no prefix; its digest is 0.
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

// PromptTokens returns the tokens of all messages.
func PromptTokens(messages []Message) int {
	total := 0
	for _, message := range messages {
		total += EstimateTokens(len(message.Text()))
	}
	return total
}
