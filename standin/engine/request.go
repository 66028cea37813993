package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/answer"
)

// maxBodyBytes is the largest body size of a completion request.
const maxBodyBytes = 8 << 20

// chatRequest contains the fields of a completion request that the stand-in
// reads.
type chatRequest struct {
	Model               string              `json:"model"`
	Messages            []engineapi.Message `json:"messages"`
	Stream              bool                `json:"stream"`
	StreamOptions       streamOptions       `json:"stream_options"`
	MaxTokens           *int                `json:"max_tokens"`
	MaxCompletionTokens *int                `json:"max_completion_tokens"`
	Seed                int64               `json:"seed"`
	Metadata            map[string]string   `json:"metadata"`
	Continue            bool                `json:"continue_final_message"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// job is a parsed completion request.
type job struct {
	attempt     string
	model       string
	priority    int
	holdTimeout time.Duration
	digest      answer.PromptDigest // of the prompt
	// The engine generates the tokens of the answer with indexes from firstToken
	// to endToken-1. firstToken is above 0 if the request continues an answer.
	firstToken, endToken int
	finishReason         string
	promptTokens         int
	prefixDigest         uint64
	prefixTokens         int
	stream               bool
	includeUsage         bool
	// mismatched is true if the request continues a text that is not the
	// beginning of the prompt's answer.
	mismatched bool
}

// Finish reasons of the OpenAI protocol.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// parseJob parses the header and the body of a completion request. It returns
// an error if one of them is invalid.
func parseJob(header http.Header, body []byte) (*job, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if len(req.Messages) == 0 {
		return nil, errors.New("messages: at least one is needed")
	}
	j := &job{
		attempt:      header.Get(engineapi.HeaderAttempt),
		model:        req.Model,
		stream:       req.Stream,
		includeUsage: req.StreamOptions.IncludeUsage,
	}
	if err := j.parseNumericHeaders(header); err != nil {
		return nil, err
	}
	prompt := req.Messages
	if req.Continue {
		prompt = req.Messages[:len(req.Messages)-1]
	}
	j.digest = answer.DigestOf(prompt)
	j.promptTokens = engineapi.PromptTokens(req.Messages)
	j.prefixDigest, j.prefixTokens = engineapi.PromptPrefix(prompt)
	if req.Continue {
		j.continueFrom(req.Messages[len(req.Messages)-1].Text())
	}
	return j, j.setEnd(header, req)
}

// parseNumericHeaders parses the priority and the hold time.
func (j *job) parseNumericHeaders(header http.Header) error {
	priority, err := intHeader(header, engineapi.HeaderPriority)
	if err != nil {
		return err
	}
	holdMillis, err := intHeader(header, engineapi.HeaderHold)
	if err != nil {
		return err
	}
	j.priority = priority
	j.holdTimeout = time.Duration(holdMillis) * time.Millisecond
	return nil
}

// continueFrom sets firstToken so that the answer continues after the given text.
func (j *job) continueFrom(text string) {
	j.firstToken = len(text) / answer.TokenBytes
	j.mismatched = j.digest.Text(0, j.firstToken) != text
}

// setEnd sets endToken and the finish reason.
func (j *job) setEnd(header http.Header, req chatRequest) error {
	end, err := answerTokens(header, req, j.digest)
	if err != nil {
		return err
	}
	j.endToken, j.finishReason = max(end, j.firstToken), finishStop
	limit := req.MaxTokens
	if limit == nil {
		limit = req.MaxCompletionTokens
	}
	if limit != nil && j.firstToken+*limit < j.endToken {
		j.endToken, j.finishReason = j.firstToken+max(*limit, 0), finishLength
	}
	return nil
}

// answerTokens returns the length of the whole answer in tokens, without the
// limit of max_tokens.
func answerTokens(header http.Header, req chatRequest, digest answer.PromptDigest) (int, error) {
	text := header.Get(HeaderAnswerTokens)
	if text == "" {
		text = req.Metadata[answer.MetadataTokens]
	}
	if text == "" {
		return digest.Length(req.Seed), nil
	}
	tokens, err := strconv.Atoi(text)
	if err != nil || tokens < 0 {
		return 0, errors.New("answer tokens: a number from 0 is needed")
	}
	return tokens, nil
}

// intHeader parses a header whose value is a number from 0. Without the header it
// returns 0.
func intHeader(header http.Header, name string) (int, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return 0, errors.Errorf("%s: a number from 0 is needed", name)
	}
	return value, nil
}
