package proxy

import (
	"context"
	"net/http"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/outcome"
)

// serveCompletion serves POST /v1/chat/completions.
func (p *Proxy) serveCompletion(w http.ResponseWriter, r *http.Request) {
	req, chat, refusal := p.readCompletion(w, r)
	if refusal != nil {
		p.rejectInput(w, refusal)
		return
	}
	w.Header().Set(HeaderRequestID, req.idText())
	if !chat.isSingleText() && !chat.known.Stream {
		p.forward(r.Context(), w, req, newCompletionForwarder(req, chat))
		return
	}
	p.runCompletion(r.Context(), w, req, chat)
}

// readCompletion reads and checks a completion request.
func (p *Proxy) readCompletion(w http.ResponseWriter, r *http.Request) (*request, *chatRequest, *Refusal) {
	req, refusal := p.readHeader(r)
	if refusal != nil {
		return nil, nil, refusal
	}
	if req.body, refusal = p.readBody(w, r); refusal != nil {
		return nil, nil, refusal
	}
	chat, refusal := parseChatRequest(req.body)
	if refusal != nil {
		return nil, nil, refusal
	}
	if refusal = req.setRoute(chat.known.Model, false); refusal != nil {
		return nil, nil, refusal
	}
	req.promptTokens = engineapi.PromptTokens(chat.known.Messages)
	req.prefix, req.prefixTokens = engineapi.PromptPrefix(chat.known.Messages)
	req.maxTokens = chat.maxTokens()
	return req, chat, nil
}

// runCompletion runs a completion whose answer is a single text or is streamed to
// the caller.
func (p *Proxy) runCompletion(ctx context.Context, w http.ResponseWriter, req *request, chat *chatRequest) {
	held, stored, refusal := p.claimKey(ctx, req)
	if stored != nil {
		p.replay(w, req, stored, chat.known.Stream)
		return
	}
	cr := &completionRelay{proxy: p, request: req, chat: chat}
	if chat.known.Stream {
		cr.response = newStreamResponse(w, chat.known.StreamOptions.IncludeUsage, p.Limits.CallerTimeout)
	} else {
		cr.response = &wholeResponse{w: w, whole: &cr.whole}
	}
	if refusal == nil {
		ticket := req.ticket()
		if !chat.isSingleText() {
			// An answer that is not a single text can't be continued at another
			// backend server.
			ticket.Idempotent = false
		}
		refusal = p.dispatch(ctx, req, cr, ticket)
		p.finishClaim(held, refusal, cr.storedOutcome())
	}
	p.finishCompletion(w, cr, refusal)
}

// storedOutcome returns the outcome to store with the idempotency key. A later
// request with the same key gets its response from this outcome.
func (cr *completionRelay) storedOutcome() idempotency.Outcome {
	if cr.errorResponse != nil {
		return idempotency.Outcome{Status: cr.errorResponse.Status, Body: cr.errorResponse.Body}
	}
	if !cr.chat.isSingleText() {
		return idempotency.Outcome{Status: http.StatusOK, Truncated: true}
	}
	return idempotency.Outcome{Status: http.StatusOK, Body: cr.whole.body()}
}

// finishCompletion ends the response to the caller and updates the metrics.
func (p *Proxy) finishCompletion(w http.ResponseWriter, cr *completionRelay, refusal *Refusal) {
	class := p.Metrics.ForClass(cr.request.class.Name)
	if refusal != nil {
		class.CountWastedTokens(cr.delivered)
		p.countRefusal(cr.request, refusal)
		if refusal.Final != outcome.Abandoned {
			cr.response.fail(refusal)
		}
		return
	}
	if cr.errorResponse != nil {
		p.writeResponse(w, cr.errorResponse.Status, cr.errorResponse.ContentType, cr.errorResponse.Body)
		class.CountFinal(outcome.Completed)
		return
	}
	p.setWriteDeadline(w)
	if err := cr.response.finish(); err != nil {
		class.CountWastedTokens(cr.delivered)
		class.CountFinal(outcome.Abandoned)
		return
	}
	class.CountFinal(outcome.Completed)
	class.CountTokens(cr.delivered)
	if !cr.firstAt.IsZero() {
		class.ObserveFirstToken(cr.firstAt.Sub(cr.request.arrived))
	}
	class.CountTarget(cr.metTargets(time.Now()))
}

// countRefusal counts a request that did not end with a backend server's
// response, by reason and by final outcome.
func (p *Proxy) countRefusal(req *request, refusal *Refusal) {
	p.Metrics.CountRefusal(refusal.Reason)
	p.Metrics.ForClass(req.class.Name).CountFinal(refusal.Final)
}

// metTargets reports whether a completed answer met the targets of its class.
func (cr *completionRelay) metTargets(now time.Time) bool {
	spec := cr.request.class.Spec
	if target := spec.FirstToken.Std(); target > 0 && cr.firstAt.Sub(cr.request.arrived) > target {
		return false
	}
	if target := spec.WholeAnswer.Std(); target > 0 && now.Sub(cr.request.arrived) > target {
		return false
	}
	target := spec.BetweenTokens.Std()
	if target <= 0 || cr.delivered < 2 {
		return true
	}
	return cr.lastAt.Sub(cr.firstAt)/time.Duration(cr.delivered-1) <= target
}

// writeResponse writes a whole response to the caller.
func (p *Proxy) writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	p.setWriteDeadline(w)
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	// The error is ignored: a failed write means that the caller left.
	_, _ = w.Write(body)
}

// setWriteDeadline limits the time of the next write to the caller.
func (p *Proxy) setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(p.Limits.CallerTimeout))
}

// modelList is the response to GET /v1/models in the OpenAI protocol.
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

// serveModels serves GET /v1/models: it lists the models that the caller's
// organisation may use.
func (p *Proxy) serveModels(w http.ResponseWriter, r *http.Request) {
	index := p.Index()
	org, ok := index.Organisation(bearerKey(r))
	if !ok {
		p.rejectInput(w, refuse(outcome.Unauthorised, "the key is not known"))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range index.Models(org) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "bergamotpin"})
	}
	p.writeResponse(w, http.StatusOK, "application/json", encode(list))
}
