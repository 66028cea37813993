package loadgen

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/answer"
)

// request is one request of a caller. It may be sent more than once.
type request struct {
	class        *Class
	organisation Organisation
	// dueAt is the time from the start of the run to the moment at which the
	// request is due.
	dueAt          time.Duration
	address        string
	path           string
	body           []byte
	idempotencyKey string
	stream         bool
	// promptDigest and answerTokens determine the answer that the caller must
	// get.
	promptDigest answer.PromptDigest
	answerTokens int

	promptTokens int
	prefix       uint64 // digest of the shared prefix, or 0 if there is none
	prefixTokens int

	leaveAfter       time.Duration // zero if the caller doesn't leave early
	returnsIfRefused bool
	sentTwice        bool
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model         string              `json:"model"`
	Messages      []engineapi.Message `json:"messages"`
	Stream        bool                `json:"stream"`
	StreamOptions *streamOptions      `json:"stream_options,omitempty"`
	MaxTokens     int                 `json:"max_tokens,omitempty"`
	Metadata      map[string]string   `json:"metadata"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// newRequest draws a request of the class. The id becomes a part of the prompt
// or, for a plain service, the idempotency key, so the id must be unique among
// the requests of all runs.
func newRequest(class *Class, workload *Workload, id string, due time.Duration, random *rand.Rand) *request {
	q := &request{class: class, organisation: workload.drawOrganisation(random), dueAt: due}
	q.drawBehaviour(random)
	prompt := paddedText(id, class.PromptLengths.drawLength(random))
	if class.RouteSpec.Service {
		q.path = "/v1/services/" + class.Route + "/issue"
		q.idempotencyKey = id
		q.body = []byte(prompt)
		return q
	}
	q.path = engineapi.PathCompletions
	q.stream = random.Float64() >= class.UnaryShare
	q.answerTokens = class.AnswerLengths.drawLength(random)
	if class.MaxTokens > 0 {
		q.answerTokens = min(q.answerTokens, class.MaxTokens)
	}
	q.setBody(q.messages(prompt, random))
	return q
}

// drawBehaviour decides at random whether the caller leaves early, returns
// after a refusal, or sends the request twice.
func (q *request) drawBehaviour(random *rand.Rand) {
	if random.Float64() < q.class.LeaveShare {
		q.leaveAfter = max(time.Duration(random.ExpFloat64()*float64(q.class.MeanLeaveAfter)), time.Millisecond)
	}
	q.returnsIfRefused = random.Float64() < q.class.ReturnShare
	q.sentTwice = q.class.RouteSpec.Service && random.Float64() < q.class.DuplicateShare
}

// messages returns the prompt's messages. If the class has shared prefixes, a
// random one of them comes first as the system message.
func (q *request) messages(prompt string, random *rand.Rand) []engineapi.Message {
	user := message("user", prompt)
	if q.class.Prefixes == 0 {
		return []engineapi.Message{user}
	}
	shared := fmt.Sprintf("%s %d", q.class.Name, random.IntN(q.class.Prefixes))
	return []engineapi.Message{message("system", paddedText(shared, q.class.PrefixTokens)), user}
}

func (q *request) setBody(messages []engineapi.Message) {
	q.promptDigest = answer.DigestOf(messages)
	q.promptTokens = engineapi.PromptTokens(messages)
	q.prefix, q.prefixTokens = engineapi.PromptPrefix(messages)
	body := chatBody{
		Model:     q.class.Route,
		Messages:  messages,
		Stream:    q.stream,
		MaxTokens: q.class.MaxTokens,
		Metadata:  map[string]string{answer.MetadataTokens: strconv.Itoa(q.answerTokens)},
	}
	if q.stream {
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	q.body = mustJSON(body)
}

func message(role, content string) engineapi.Message {
	return engineapi.Message{Role: role, Content: mustJSON(content)}
}

// filler is the text that prompts are padded with.
const filler = "wool warp weft knot dye "

// paddedText returns a text of the given length in tokens that begins with the
// id.
func paddedText(id string, tokens int) string {
	byteCount := tokens * len(filler) / engineapi.EstimateTokens(len(filler))
	missing := max(byteCount-len(id)-1, 0)
	return id + " " + strings.Repeat(filler, missing/len(filler)) + filler[:missing%len(filler)]
}

// mustJSON encodes a value as JSON. It panics on a value that can't be encoded;
// all types used in this package can.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
