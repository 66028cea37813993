package proxy

import (
	"encoding/json"
	"maps"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/outcome"
)

// prompt is a chat completion request as the caller sent it. Fields that the
// router doesn't know are kept.
type prompt struct {
	fields map[string]json.RawMessage
	known  knownFields
}

// knownFields are the fields that the router reads.
type knownFields struct {
	Model               string              `json:"model"`
	Messages            []engineapi.Message `json:"messages"`
	Stream              bool                `json:"stream"`
	StreamOptions       streamOptions       `json:"stream_options"`
	MaxTokens           int                 `json:"max_tokens"`
	MaxCompletionTokens int                 `json:"max_completion_tokens"`
	N                   int                 `json:"n"`
	Tools               json.RawMessage     `json:"tools"`
	Logprobs            bool                `json:"logprobs"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parsePrompt reads a body. Its errors tell the caller what is wrong.
func parsePrompt(body []byte) (*prompt, *Refusal) {
	p := &prompt{}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, refuse(outcome.BadRequest, "the body is not a JSON object: "+err.Error())
	}
	if err := json.Unmarshal(body, &p.known); err != nil {
		return nil, refuse(outcome.BadRequest, "the body does not follow the protocol: "+err.Error())
	}
	if p.known.Model == "" {
		return nil, refuse(outcome.BadRequest, "the field model is missing")
	}
	if len(p.known.Messages) == 0 {
		return nil, refuse(outcome.BadRequest, "the field messages is missing or empty")
	}
	return p, nil
}

// plainText tells whether the answer is one text, which can be put together
// from a stream and continued at another backend server.
func (p *prompt) plainText() bool {
	return p.known.N <= 1 && len(p.known.Tools) == 0 && !p.known.Logprobs
}

// maxTokens returns the caller's bound on the answer, or 0.
func (p *prompt) maxTokens() int {
	if p.known.MaxCompletionTokens > 0 {
		return p.known.MaxCompletionTokens
	}
	return p.known.MaxTokens
}

// streamBody returns the body of a streamed attempt. With a text it asks to
// continue the answer after it.
func (p *prompt) streamBody(model, text string, delivered int) []byte {
	fields := maps.Clone(p.fields)
	fields["model"] = encode(model)
	fields["stream"] = encode(true)
	fields["stream_options"] = encode(streamOptions{IncludeUsage: true})
	if delivered > 0 {
		p.setContinuation(fields, text, delivered)
	}
	return encode(fields)
}

// wholeBody returns the body of an attempt that is not streamed.
func (p *prompt) wholeBody(model string) []byte {
	fields := maps.Clone(p.fields)
	fields["model"] = encode(model)
	return encode(fields)
}

func (p *prompt) setContinuation(fields map[string]json.RawMessage, text string, delivered int) {
	var messages []json.RawMessage
	if err := json.Unmarshal(p.fields["messages"], &messages); err != nil {
		panic("proxy: checked messages do not decode: " + err.Error())
	}
	answer := engineapi.Message{Role: "assistant", Content: encode(text)}
	fields["messages"] = encode(append(messages, encode(answer)))
	fields["continue_final_message"] = encode(true)
	fields["add_generation_prompt"] = encode(false)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if _, set := fields[name]; set {
			fields[name] = encode(max(p.maxTokens()-delivered, 1))
		}
	}
}

// encode returns v as JSON. The types passed here always encode.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("proxy: encode: " + err.Error())
	}
	return raw
}
