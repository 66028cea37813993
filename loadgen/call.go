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

// Headers of the router's protocol for callers.
const (
	headerClass    = "Bergamotpin-Class"
	headerDeadline = "Bergamotpin-Deadline"
	headerRun      = "Bergamotpin-Run"
)

// Values of the error object's field "run".
const (
	runNo      = "no"
	runUnknown = "unknown"
)

// Reasons that the load generator sets itself. All others come from the router.
const (
	reasonConnectionLost   = "connection_lost"
	reasonNoAnswer         = "no_answer"
	reasonMalformedRefusal = "malformed_refusal"
)

// errorBody is the body of the router's error responses.
type errorBody struct {
	Error *errorObject `json:"error"`
}

type errorObject struct {
	Code    string `json:"code"`
	Reason  string `json:"reason"`
	Run     string `json:"run"`
	Message string `json:"message"`
}

// sendResult is the outcome of sending a request once.
type sendResult struct {
	finalOutcome outcome.Final
	reason       string
	retryAfter   time.Duration
	// firstToken is the time from when the request was due to the first token
	// of a streamed response. It is zero if no token arrived or the response is
	// not streamed.
	firstToken time.Duration
	// whole is the time from when the request was due to the end of the
	// response, or zero if the response is incomplete.
	whole      time.Duration
	gaps       []time.Duration // between two tokens of a streamed response
	tokens     int
	violations []Violation
}

func (r *sendResult) addViolation(v Violation) { r.violations = append(r.violations, v) }

// sender sends requests and reads their responses.
type sender struct {
	client *http.Client
	start  time.Time // start of the run
}

// send sends the request once and reads the response. It measures latencies
// from the given time at which the request was due.
func (s *sender) send(ctx context.Context, q *request, due time.Time) sendResult {
	if q.leaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, due.Add(q.leaveAfter))
		defer cancel()
	}
	resp, err := s.client.Do(q.httpRequest(ctx))
	if err != nil {
		return brokenResult(ctx, q)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(ctx, q, resp)
	}
	reader := &responseReader{request: q, due: due, body: bufio.NewReader(resp.Body)}
	switch {
	case q.class.RouteSpec.Service:
		reader.readService()
	case q.stream:
		reader.readStream()
	default:
		reader.readWhole()
	}
	if reader.connectionBroken {
		return reader.brokenResult(ctx)
	}
	return reader.result
}

// httpRequest builds the HTTP request. It panics if the address is not valid.
func (q *request) httpRequest(ctx context.Context) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.address+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+q.organisation.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerClass, q.class.Name)
	if q.idempotencyKey != "" {
		r.Header.Set(service.HeaderIdempotencyKey, q.idempotencyKey)
	}
	if q.class.Deadline > 0 {
		r.Header.Set(headerDeadline, strconv.FormatInt(q.class.Deadline.Milliseconds(), 10))
	}
	return r
}

// brokenResult returns the result of a connection that ended before the
// response was complete: the caller left, the run ended, or the router closed
// the connection.
func brokenResult(ctx context.Context, q *request) sendResult {
	switch {
	case ctx.Err() != nil && q.leaveAfter > 0:
		return sendResult{finalOutcome: outcome.Abandoned}
	case ctx.Err() != nil:
		return sendResult{finalOutcome: outcome.Unknown, reason: reasonNoAnswer}
	default:
		return sendResult{finalOutcome: outcome.Unknown, reason: reasonConnectionLost}
	}
}

// readRefusal reads a response whose status is not 200.
func readRefusal(ctx context.Context, q *request, resp *http.Response) sendResult {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return brokenResult(ctx, q)
	}
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		r := sendResult{finalOutcome: outcome.Unknown, reason: reasonMalformedRefusal}
		r.addViolation(MalformedRefusal)
		return r
	}
	r := body.Error.toResult()
	if resp.Header.Get(headerRun) != body.Error.Run {
		r.addViolation(MalformedRefusal)
	}
	r.retryAfter = retryAfter(resp.Header)
	return r
}

// retryAfter returns the time after which the caller may return, or zero if the
// refusal has none. Like the OpenAI client libraries, it prefers the header
// Retry-After-Ms to Retry-After.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.Atoi(header.Get("Retry-After-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// toResult returns the outcome and the reason that the error object states.
func (e *errorObject) toResult() sendResult {
	r := sendResult{finalOutcome: outcome.Unknown, reason: e.Reason}
	if e.Run == runNo {
		r.finalOutcome = outcome.Refused
	}
	if e.Code == "" || e.Reason == "" || (e.Run != runNo && e.Run != runUnknown) {
		r.addViolation(MalformedRefusal)
	}
	return r
}

// responseReader reads one response with status 200.
type responseReader struct {
	request     *request
	due         time.Time
	body        *bufio.Reader
	result      sendResult
	text        strings.Builder
	lastTokenAt time.Time
	// connectionBroken is true if reading the response failed.
	connectionBroken bool
}

// brokenResult returns the result of a broken connection, with the measurements
// taken before it broke.
func (r *responseReader) brokenResult(ctx context.Context) sendResult {
	out := r.result
	end := brokenResult(ctx, r.request)
	out.finalOutcome, out.reason = end.finalOutcome, end.reason
	r.checkPrefix(&out)
	return out
}

// finish records the end of the response and checks that the text is the
// expected answer.
func (r *responseReader) finish() {
	r.result.finalOutcome = outcome.Completed
	r.result.whole = time.Since(r.due)
	if r.text.String() != r.request.promptDigest.Text(0, r.request.answerTokens) {
		r.result.addViolation(WrongAnswer)
	}
}

// checkPrefix checks that an incomplete text is a prefix of the expected
// answer.
func (r *responseReader) checkPrefix(out *sendResult) {
	if !strings.HasPrefix(r.request.promptDigest.Text(0, r.request.answerTokens), r.text.String()) {
		out.addViolation(WrongAnswer)
	}
}

// readService reads the response of a plain service.
func (r *responseReader) readService() {
	raw, err := io.ReadAll(r.body)
	if err != nil {
		r.connectionBroken = true
		return
	}
	r.result.finalOutcome = outcome.Completed
	r.result.whole = time.Since(r.due)
	var got service.Response
	if json.Unmarshal(raw, &got) != nil || got.Key != r.request.idempotencyKey || got.Digest != service.DigestOf(r.request.body) {
		r.result.addViolation(WrongAnswer)
		return
	}
	if got.Run > 1 {
		r.result.addViolation(RanTwice)
	}
}
