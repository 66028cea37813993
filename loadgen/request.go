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

// request is one request of a caller, which may be sent more than once.
type request struct {
	class        *Class
	organisation Organisation
	// due is the arrival, since the run's start.
	due     time.Duration
	address string
	path    string
	body    []byte
	key     string
	stream  bool
	// digest and tokens give the answer that the caller has to get.
	digest answer.Digest
	tokens int

	promptTokens int
	prefix       uint64
	prefixTokens int

	leaveAfter time.Duration // zero to stay
	comesBack  bool
	repeats    bool
}

// chatBody is the body of a completion.
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

// newRequest draws a request. The id tells it from all others of all runs with
// another seed.
func newRequest(class *Class, workload *Workload, id string, due time.Duration, random *rand.Rand) *request {
	q := &request{class: class, organisation: workload.pick(random), due: due}
	q.drawHabits(random)
	prompt := text(id, class.Prompt.draw(random))
	if class.RouteSpec.Service {
		q.path = "/v1/services/" + class.Route + "/issue"
		q.key = id
		q.body = []byte(prompt)
		return q
	}
	q.path = engineapi.PathCompletions
	q.stream = random.Float64() >= class.UnaryShare
	q.tokens = class.Answer.draw(random)
	if class.MaxTokens > 0 {
		q.tokens = min(q.tokens, class.MaxTokens)
	}
	q.setBody(q.messages(prompt, random))
	return q
}

// drawHabits decides what the caller will do.
func (q *request) drawHabits(random *rand.Rand) {
	if random.Float64() < q.class.LeaveShare {
		q.leaveAfter = max(time.Duration(random.ExpFloat64()*float64(q.class.LeaveAfter)), time.Millisecond)
	}
	q.comesBack = random.Float64() < q.class.ReturnShare
	q.repeats = q.class.RouteSpec.Service && random.Float64() < q.class.DuplicateShare
}

// messages returns the prompt after a shared prefix, if the class has some.
func (q *request) messages(prompt string, random *rand.Rand) []engineapi.Message {
	user := message("user", prompt)
	if q.class.Prefixes == 0 {
		return []engineapi.Message{user}
	}
	shared := fmt.Sprintf("%s %d", q.class.Name, random.IntN(q.class.Prefixes))
	return []engineapi.Message{message("system", text(shared, q.class.PrefixTokens)), user}
}

func (q *request) setBody(messages []engineapi.Message) {
	q.digest = answer.DigestOf(messages)
	q.promptTokens = engineapi.PromptTokens(messages)
	q.prefix, q.prefixTokens = engineapi.PromptPrefix(messages)
	body := chatBody{
		Model:     q.class.Route,
		Messages:  messages,
		Stream:    q.stream,
		MaxTokens: q.class.MaxTokens,
		Metadata:  map[string]string{answer.MetadataTokens: strconv.Itoa(q.tokens)},
	}
	if q.stream {
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	q.body = mustJSON(body)
}

func message(role, content string) engineapi.Message {
	return engineapi.Message{Role: role, Content: mustJSON(content)}
}

// filler pads texts to their length.
const filler = "wool warp weft knot dye "

// text returns a text of that many tokens that begins with the id.
func text(id string, tokens int) string {
	want := tokens * len(filler) / engineapi.EstimateTokens(len(filler))
	missing := max(want-len(id)-1, 0)
	return id + " " + strings.Repeat(filler, missing/len(filler)) + filler[:missing%len(filler)]
}

// mustJSON encodes a value of this file. It cannot fail for them.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
