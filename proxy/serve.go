package proxy

import (
	"context"
	"net/http"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/outcome"
)

// serveCompletion answers POST /v1/chat/completions.
func (p *Proxy) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, request, refusal := p.readCompletion(w, r)
	if refusal != nil {
		p.rejectInput(w, refusal)
		return
	}
	w.Header().Set(HeaderRequestID, c.name())
	if !request.plainText() && !request.known.Stream {
		p.forward(r.Context(), w, c, newWholeForward(c, request))
		return
	}
	p.complete(r.Context(), w, c, request)
}

// readCompletion reads and checks a completion request.
func (p *Proxy) readCompletion(w http.ResponseWriter, r *http.Request) (*call, *prompt, *Refusal) {
	c, refusal := p.admit(r)
	if refusal != nil {
		return nil, nil, refusal
	}
	if c.body, refusal = p.readBody(w, r); refusal != nil {
		return nil, nil, refusal
	}
	request, refusal := parsePrompt(c.body)
	if refusal != nil {
		return nil, nil, refusal
	}
	if refusal = c.setRoute(request.known.Model, false); refusal != nil {
		return nil, nil, refusal
	}
	c.promptTokens = engineapi.PromptTokens(request.known.Messages)
	c.prefix, c.prefixTokens = engineapi.PromptPrefix(request.known.Messages)
	c.maxTokens = request.maxTokens()
	return c, request, nil
}

// complete runs a completion whose answer is one text, or a stream.
func (p *Proxy) complete(ctx context.Context, w http.ResponseWriter, c *call, request *prompt) {
	held, kept, refusal := p.claim(ctx, c)
	if kept != nil {
		p.replay(w, c, kept, request.known.Stream)
		return
	}
	x := &completionExchange{proxy: p, call: c, prompt: request}
	if request.known.Stream {
		x.answer = newStreamAnswer(w, request.known.StreamOptions.IncludeUsage, p.Limits.CallerTimeout)
	} else {
		x.answer = &wholeAnswer{w: w, gathered: &x.gathered}
	}
	if refusal == nil {
		ticket := c.ticket()
		if !request.plainText() {
			// The answer can't be continued at another backend server.
			ticket.Idempotent = false
		}
		refusal = p.dispatch(ctx, c, x, ticket)
		p.settle(held, refusal, x.kept())
	}
	p.finishCompletion(w, x, refusal)
}

// kept returns the answer as a repeat with the same key gets it.
func (x *completionExchange) kept() idempotency.Outcome {
	if x.passed != nil {
		return idempotency.Outcome{Status: x.passed.Status, Body: x.passed.Body}
	}
	if !x.prompt.plainText() {
		return idempotency.Outcome{Status: http.StatusOK, Truncated: true}
	}
	return idempotency.Outcome{Status: http.StatusOK, Body: x.gathered.body()}
}

// finishCompletion writes the end of the answer and counts it.
func (p *Proxy) finishCompletion(w http.ResponseWriter, x *completionExchange, refusal *Refusal) {
	class := p.Metrics.Class(x.call.class.Name)
	if refusal != nil {
		class.CountWastedTokens(x.delivered)
		p.countRefusal(x.call, refusal)
		if refusal.Final != outcome.Abandoned {
			x.answer.fail(refusal)
		}
		return
	}
	if x.passed != nil {
		p.pass(w, x.passed.Status, x.passed.ContentType, x.passed.Body)
		class.CountFinal(outcome.Completed)
		return
	}
	p.boundWrite(w)
	if err := x.answer.finish(); err != nil {
		class.CountWastedTokens(x.delivered)
		class.CountFinal(outcome.Abandoned)
		return
	}
	class.CountFinal(outcome.Completed)
	class.CountTokens(x.delivered)
	if !x.firstAt.IsZero() {
		class.ObserveFirstToken(x.firstAt.Sub(x.call.arrived))
	}
	class.CountTarget(x.metTargets(time.Now()))
}

// countRefusal counts a final answer that is not the backend server's.
func (p *Proxy) countRefusal(c *call, refusal *Refusal) {
	p.Metrics.CountRefusal(refusal.Reason)
	p.Metrics.Class(c.class.Name).CountFinal(refusal.Final)
}

// metTargets tells whether a completed answer met its class's targets.
func (x *completionExchange) metTargets(now time.Time) bool {
	spec := x.call.class.Spec
	if target := spec.FirstToken.Std(); target > 0 && x.firstAt.Sub(x.call.arrived) > target {
		return false
	}
	if target := spec.WholeAnswer.Std(); target > 0 && now.Sub(x.call.arrived) > target {
		return false
	}
	target := spec.BetweenTokens.Std()
	if target <= 0 || x.delivered < 2 {
		return true
	}
	return x.lastAt.Sub(x.firstAt)/time.Duration(x.delivered-1) <= target
}

// pass writes a backend server's own answer.
func (p *Proxy) pass(w http.ResponseWriter, status int, contentType string, body []byte) {
	p.boundWrite(w)
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	// A failed write means that the caller left.
	_, _ = w.Write(body)
}

// boundWrite bounds the time of the next write.
func (p *Proxy) boundWrite(w http.ResponseWriter) {
	// In-memory writers of tests have no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(p.Limits.CallerTimeout))
}

// modelList is the answer of GET /v1/models in the OpenAI protocol.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists what the caller's organisation may use.
func (p *Proxy) serveModels(w http.ResponseWriter, r *http.Request) {
	index := p.Index()
	org, ok := index.Organisation(bearer(r))
	if !ok {
		p.rejectInput(w, refuse(outcome.Unauthorised, "the key is not known"))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range index.Models(org) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "bergamotpin"})
	}
	p.pass(w, http.StatusOK, "application/json", encode(list))
}
