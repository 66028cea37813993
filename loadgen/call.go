package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/standin/service"
)

// Headers of the callers' protocol.
const (
	headerClass    = "Bergamotpin-Class"
	headerDeadline = "Bergamotpin-Deadline"
	headerRun      = "Bergamotpin-Run"
)

// Values of a refusal's field "run".
const (
	runNo      = "no"
	runUnknown = "unknown"
)

// Reasons that the generator itself gives, beside package outcome's.
const (
	reasonConnection = "connection_lost"
	reasonNoAnswer   = "no_answer"
	reasonMalformed  = "malformed_refusal"
)

// refusalBody is the router's error object.
type refusalBody struct {
	Error *refusal `json:"error"`
}

type refusal struct {
	Code    string `json:"code"`
	Reason  string `json:"reason"`
	Run     string `json:"run"`
	Message string `json:"message"`
}

// result is how one sending of a request ended.
type result struct {
	final      outcome.Final
	reason     string
	retryAfter time.Duration
	// firstToken and whole count from the due time. Zero if not reached; an
	// answer that is not streamed has no first token.
	firstToken time.Duration
	whole      time.Duration
	gaps       []time.Duration
	tokens     int
	violations []Violation
}

func (r *result) breach(v Violation) { r.violations = append(r.violations, v) }

// caller sends requests.
type caller struct {
	client *http.Client
	start  time.Time
}

// send sends the request once and reads the answer. Latencies count from due.
func (c *caller) send(ctx context.Context, q *request, due time.Time) result {
	if q.leaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, due.Add(q.leaveAfter))
		defer cancel()
	}
	resp, err := c.client.Do(q.httpRequest(ctx))
	if err != nil {
		return broken(ctx, q)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(ctx, q, resp)
	}
	reading := &reading{request: q, due: due, body: bufio.NewReader(resp.Body)}
	switch {
	case q.class.RouteSpec.Service:
		reading.service()
	case q.stream:
		reading.stream()
	default:
		reading.whole()
	}
	if reading.failed {
		return reading.broken(ctx)
	}
	return reading.result
}

// httpRequest builds the HTTP request. It cannot fail for a valid address.
func (q *request) httpRequest(ctx context.Context) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.address+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+q.organisation.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerClass, q.class.Name)
	if q.key != "" {
		r.Header.Set(service.HeaderIdempotencyKey, q.key)
	}
	if q.class.Deadline > 0 {
		r.Header.Set(headerDeadline, strconv.FormatInt(q.class.Deadline.Milliseconds(), 10))
	}
	return r
}

// broken is the result of a connection that ended too early: the caller left,
// the run ended, or the other side went away.
func broken(ctx context.Context, q *request) result {
	switch {
	case ctx.Err() != nil && q.leaveAfter > 0:
		return result{final: outcome.Abandoned}
	case ctx.Err() != nil:
		return result{final: outcome.Unknown, reason: reasonNoAnswer}
	default:
		return result{final: outcome.Unknown, reason: reasonConnection}
	}
}

// readRefusal reads an answer with a status other than 200.
func readRefusal(ctx context.Context, q *request, resp *http.Response) result {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken(ctx, q)
	}
	var body refusalBody
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		r := result{final: outcome.Unknown, reason: reasonMalformed}
		r.breach(MalformedRefusal)
		return r
	}
	r := body.Error.result()
	if resp.Header.Get(headerRun) != body.Error.Run {
		r.breach(MalformedRefusal)
	}
	r.retryAfter = retryAfter(resp.Header)
	return r
}

// retryAfter reads the time to return, in milliseconds if the refusal gives it
// so, as the OpenAI client libraries do. Zero means that it gives none.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.Atoi(header.Get("Retry-After-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// result translates the error object.
func (e *refusal) result() result {
	r := result{final: outcome.Unknown, reason: e.Reason}
	if e.Run == runNo {
		r.final = outcome.Refused
	}
	if e.Code == "" || e.Reason == "" || (e.Run != runNo && e.Run != runUnknown) {
		r.breach(MalformedRefusal)
	}
	return r
}

// reading takes in one answer with status 200.
type reading struct {
	request *request
	due     time.Time
	body    *bufio.Reader
	result  result
	text    strings.Builder
	last    time.Time
	// failed says that the connection broke.
	failed bool
}

// broken keeps what was measured before the connection broke.
func (r *reading) broken(ctx context.Context) result {
	out := r.result
	end := broken(ctx, r.request)
	out.final, out.reason = end.final, end.reason
	r.checkPrefix(&out)
	return out
}

// complete notes the end of the answer and checks that it is whole.
func (r *reading) complete() {
	r.result.final = outcome.Completed
	r.result.whole = time.Since(r.due)
	if r.text.String() != r.request.digest.Text(0, r.request.tokens) {
		r.result.breach(WrongAnswer)
	}
}

// checkPrefix checks the part of an answer that did not end.
func (r *reading) checkPrefix(out *result) {
	if !strings.HasPrefix(r.request.digest.Text(0, r.request.tokens), r.text.String()) {
		out.breach(WrongAnswer)
	}
}

// service reads the answer of a plain service.
func (r *reading) service() {
	raw, err := io.ReadAll(r.body)
	if err != nil {
		r.failed = true
		return
	}
	r.result.final = outcome.Completed
	r.result.whole = time.Since(r.due)
	var got service.Answer
	if json.Unmarshal(raw, &got) != nil || got.Key != r.request.key || got.Digest != service.DigestOf(r.request.body) {
		r.result.breach(WrongAnswer)
		return
	}
	if got.Run > 1 {
		r.result.breach(RanTwice)
	}
}
