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

// maxBodyBytes bounds a completion's body.
const maxBodyBytes = 8 << 20

// chatRequest is the part of a completion's body that the stand-in reads.
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

// job is what the engine has to compute for a request.
type job struct {
	attempt  string
	model    string
	priority int
	hold     time.Duration
	digest   answer.Digest
	// first is the answer's first token to compute, end the one after its
	// last.
	first, end   int
	finish       string
	promptTokens int
	prefix       uint64
	prefixTokens int
	stream       bool
	includeUsage bool
	// mismatch says that the text to continue is not this prompt's answer.
	mismatch bool
}

// Finish reasons of the OpenAI protocol.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// parseJob reads a completion's headers and body. It fails on an invalid one.
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
	if err := j.readNumbers(header); err != nil {
		return nil, err
	}
	prompt := req.Messages
	if req.Continue {
		prompt = req.Messages[:len(req.Messages)-1]
	}
	j.digest = answer.DigestOf(prompt)
	j.promptTokens = engineapi.PromptTokens(req.Messages)
	j.prefix, j.prefixTokens = engineapi.PromptPrefix(prompt)
	if req.Continue {
		j.continueFrom(req.Messages[len(req.Messages)-1].Text())
	}
	return j, j.bound(header, req)
}

// readNumbers reads the numeric headers.
func (j *job) readNumbers(header http.Header) error {
	priority, err := intHeader(header, engineapi.HeaderPriority)
	if err != nil {
		return err
	}
	hold, err := intHeader(header, engineapi.HeaderHold)
	if err != nil {
		return err
	}
	j.priority = priority
	j.hold = time.Duration(hold) * time.Millisecond
	return nil
}

// continueFrom sets the first token from the text that the caller has.
func (j *job) continueFrom(text string) {
	j.first = len(text) / answer.TokenBytes
	j.mismatch = j.digest.Text(0, j.first) != text
}

// bound sets the answer's end and why it ends there.
func (j *job) bound(header http.Header, req chatRequest) error {
	end, err := answerTokens(header, req, j.digest)
	if err != nil {
		return err
	}
	j.end, j.finish = max(end, j.first), finishStop
	limit := req.MaxTokens
	if limit == nil {
		limit = req.MaxCompletionTokens
	}
	if limit != nil && j.first+*limit < j.end {
		j.end, j.finish = j.first+max(*limit, 0), finishLength
	}
	return nil
}

// answerTokens returns the length of the whole answer.
func answerTokens(header http.Header, req chatRequest, digest answer.Digest) (int, error) {
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

// intHeader reads a header that is a number from 0, absent for 0.
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
