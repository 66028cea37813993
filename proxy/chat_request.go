package proxy

import (
	"encoding/json"
	"maps"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/outcome"
)

// chatRequest is a chat completion request as the caller sent it. Fields that
// the router doesn't know are passed on unchanged.
type chatRequest struct {
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

// parseChatRequest parses a request body. The refusal's message tells the
// caller what is wrong.
func parseChatRequest(body []byte) (*chatRequest, *Refusal) {
	r := &chatRequest{}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, refuse(outcome.BadRequest, "the body is not a JSON object: "+err.Error())
	}
	if err := json.Unmarshal(body, &r.known); err != nil {
		return nil, refuse(outcome.BadRequest, "the body does not follow the protocol: "+err.Error())
	}
	if r.known.Model == "" {
		return nil, refuse(outcome.BadRequest, "the field model is missing")
	}
	if len(r.known.Messages) == 0 {
		return nil, refuse(outcome.BadRequest, "the field messages is missing or empty")
	}
	return r, nil
}

// isSingleText reports whether the answer is a single text, which can be
// assembled from a stream and continued at another backend server.
func (r *chatRequest) isSingleText() bool {
	return r.known.N <= 1 && len(r.known.Tools) == 0 && !r.known.Logprobs
}

// maxTokens returns the caller's limit on the answer's tokens, or 0 if it
// states none.
func (r *chatRequest) maxTokens() int {
	if r.known.MaxCompletionTokens > 0 {
		return r.known.MaxCompletionTokens
	}
	return r.known.MaxTokens
}

// streamBody returns the request body of a streamed attempt. If tokens were already
// delivered, it asks the server to continue the answer after the given text.
func (r *chatRequest) streamBody(model, text string, delivered int) []byte {
	fields := maps.Clone(r.fields)
	fields["model"] = encode(model)
	fields["stream"] = encode(true)
	fields["stream_options"] = encode(streamOptions{IncludeUsage: true})
	if delivered > 0 {
		r.setContinuation(fields, text, delivered)
	}
	return encode(fields)
}

// unstreamedBody returns the request body of an attempt that is not streamed.
func (r *chatRequest) unstreamedBody(model string) []byte {
	fields := maps.Clone(r.fields)
	fields["model"] = encode(model)
	return encode(fields)
}

// setContinuation adds the fields that make the server continue the answer after
// text, and lowers the caller's token limit by the tokens already delivered.
func (r *chatRequest) setContinuation(fields map[string]json.RawMessage, text string, delivered int) {
	var messages []json.RawMessage
	if err := json.Unmarshal(r.fields["messages"], &messages); err != nil {
		panic("proxy: messages that were decoded before can't be decoded: " + err.Error())
	}
	partialAnswer := engineapi.Message{Role: "assistant", Content: encode(text)}
	fields["messages"] = encode(append(messages, encode(partialAnswer)))
	fields["continue_final_message"] = encode(true)
	fields["add_generation_prompt"] = encode(false)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if _, set := fields[name]; set {
			fields[name] = encode(max(r.maxTokens()-delivered, 1))
		}
	}
}

// encode returns v as JSON. It panics on an error, because the types passed
// here can always be encoded.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("proxy: encode: " + err.Error())
	}
	return raw
}
