package proxy

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
)

// forwarder relays a request whose response is read whole before any of it goes
// to the caller.
type forwarder struct {
	proxy   *Proxy
	request *request
	// path, header and body are sent to the backend server.
	path   string
	header http.Header
	body   []byte
	// status, contentType and responseBody are the backend server's response.
	status       int
	contentType  string
	responseBody []byte
}

// newServiceForwarder returns a forwarder for a request to a plain service, that
// is, one that is not an engine. The router interprets only the path and the header of such a request.
func newServiceForwarder(req *request, r *http.Request) *forwarder {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", HeaderIdempotencyKey} {
		if value := r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return &forwarder{request: req, path: path, header: header, body: req.body}
}

// newCompletionForwarder returns a forwarder for a completion whose response
// can't be assembled from a stream.
func newCompletionForwarder(req *request, chat *chatRequest) *forwarder {
	header := http.Header{"Content-Type": {"application/json"}}
	return &forwarder{request: req, path: engineapi.PathCompletions, header: header, body: chat.unstreamedBody(req.model)}
}

// attempt sends the request to the granted server and reads the response. It
// implements attemptRunner.
func (f *forwarder) attempt(ctx context.Context, session scheduler.Session, server netip.AddrPort, decision scheduler.Decision) result {
	sent := time.Now()
	header := f.header.Clone()
	header.Set(engineapi.HeaderAttempt, f.request.attemptID(decision.Attempt))
	resp, err := f.proxy.Engine.Do(ctx, engineclient.Request{
		Method: http.MethodPost, Address: server.String(), Path: f.path, Header: header, Body: f.body,
	})
	if err != nil {
		return f.sendFailed(ctx, decision, err)
	}
	defer resp.Body.Close()
	if engineclient.MayRetryElsewhere(resp) {
		return result{failure: f.failure(decision, outcome.ServerRefused, true)}
	}
	session.FirstToken(decision.Attempt, time.Since(sent))
	if outcome.PromisesNotRun(resp.StatusCode) {
		// The server did not state that it did not start the request. To the caller its status would
		// say so.
		return result{failure: f.failure(decision, outcome.ServerError, false)}
	}
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, f.proxy.Limits.ResponseBytes+1))
	if err != nil {
		return result{failure: f.failure(decision, failureReason(ctx, err), false)}
	}
	if int64(len(responseBody)) > f.proxy.Limits.ResponseBytes {
		refusal := &Refusal{Final: outcome.Unknown, Reason: outcome.ServerError, Message: "the backend server's answer is above the limit", mayHaveStarted: true}
		return result{finalRefusal: refusal, failure: f.failure(decision, outcome.ServerError, false)}
	}
	f.status = resp.StatusCode
	f.contentType = resp.Header.Get("Content-Type")
	f.responseBody = responseBody
	return result{completed: true, completion: schedcore.Completion{ID: f.request.id, Attempt: decision.Attempt, PromptTokens: f.request.promptTokens}}
}

func (f *forwarder) sendFailed(ctx context.Context, decision scheduler.Decision, err error) result {
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) {
		panic("proxy: send error is not an engineclient.SendError: " + err.Error())
	}
	reason := sendErr.Reason
	if ctx.Err() != nil {
		reason = failureReason(ctx, err)
	}
	return result{failure: f.failure(decision, reason, sendErr.NotStarted)}
}

func (f *forwarder) failure(decision scheduler.Decision, reason outcome.Reason, notStarted bool) schedcore.Failure {
	return schedcore.Failure{ID: f.request.id, Attempt: decision.Attempt, Reason: reason, NotStarted: notStarted}
}

// serveService serves POST /v1/services/{name}/...
func (p *Proxy) serveService(w http.ResponseWriter, r *http.Request) {
	req, refusal := p.readHeader(r)
	if refusal == nil {
		refusal = req.setRoute(r.PathValue("name"), true)
	}
	if refusal == nil {
		req.body, refusal = p.readBody(w, r)
	}
	if refusal != nil {
		p.rejectInput(w, refusal)
		return
	}
	w.Header().Set(HeaderRequestID, req.idText())
	p.forward(r.Context(), w, req, newServiceForwarder(req, r))
}

// forward runs a request whose response is read whole.
func (p *Proxy) forward(ctx context.Context, w http.ResponseWriter, req *request, f *forwarder) {
	f.proxy = p
	held, stored, refusal := p.claimKey(ctx, req)
	if stored != nil {
		p.replay(w, req, stored, false)
		return
	}
	if refusal == nil {
		refusal = p.dispatch(ctx, req, f, req.ticket())
		p.finishClaim(held, refusal, idempotency.Outcome{Status: f.status, Body: f.responseBody})
	}
	class := p.Metrics.ForClass(req.class.Name)
	if refusal != nil {
		p.countRefusal(req, refusal)
		if refusal.Final != outcome.Abandoned {
			refusal.write(w)
		}
		return
	}
	p.writeResponse(w, f.status, f.contentType, f.responseBody)
	class.CountFinal(outcome.Completed)
	class.CountTarget(req.metWholeAnswerTarget(time.Now()))
}

// metWholeAnswerTarget reports whether a response arrived within the class's
// target for whole answers.
func (req *request) metWholeAnswerTarget(now time.Time) bool {
	target := req.class.Spec.WholeAnswer.Std()
	return target <= 0 || now.Sub(req.arrived) <= target
}
