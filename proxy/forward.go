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

// forwardExchange sends a request as it is and takes the whole answer before
// any of it goes to the caller.
type forwardExchange struct {
	proxy   *Proxy
	call    *call
	path    string
	header  http.Header
	body    []byte
	status  int
	content string
	answer  []byte
}

// newServiceForward forwards a call to a plain service.
func newServiceForward(c *call, r *http.Request) *forwardExchange {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", HeaderIdempotencyKey} {
		if v := r.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	return &forwardExchange{call: c, path: path, header: header, body: c.body}
}

// newWholeForward forwards a completion whose answer can't be put together
// from a stream.
func newWholeForward(c *call, request *prompt) *forwardExchange {
	header := http.Header{"Content-Type": {"application/json"}}
	return &forwardExchange{call: c, path: engineapi.PathCompletions, header: header, body: request.wholeBody(c.model)}
}

func (x *forwardExchange) attempt(ctx context.Context, session scheduler.Session, server netip.AddrPort, v scheduler.Decision) result {
	sent := time.Now()
	header := x.header.Clone()
	header.Set(engineapi.HeaderAttempt, x.call.attemptID(v.Attempt))
	resp, err := x.proxy.Engine.Do(ctx, engineclient.Request{
		Method: http.MethodPost, Address: server.String(), Path: x.path, Header: header, Body: x.body,
	})
	if err != nil {
		return x.failed(ctx, v, err)
	}
	defer resp.Body.Close()
	if engineclient.MayRetryElsewhere(resp) {
		return result{failure: x.failure(v, outcome.ServerRefused, true)}
	}
	session.FirstToken(v.Attempt, time.Since(sent))
	answer, err := io.ReadAll(io.LimitReader(resp.Body, x.proxy.Limits.AnswerBytes+1))
	if err != nil {
		return result{failure: x.failure(v, cutReason(ctx, err), false)}
	}
	if int64(len(answer)) > x.proxy.Limits.AnswerBytes {
		refusal := &Refusal{Final: outcome.Unknown, Reason: outcome.ServerError, Message: "the backend server's answer is above the limit", mayHaveStarted: true}
		return result{final: refusal, failure: x.failure(v, outcome.ServerError, false)}
	}
	x.status = resp.StatusCode
	x.content = resp.Header.Get("Content-Type")
	x.answer = answer
	return result{completed: true, end: schedcore.Completion{ID: x.call.id, Attempt: v.Attempt, PromptTokens: x.call.promptTokens}}
}

func (x *forwardExchange) failed(ctx context.Context, v scheduler.Decision, err error) result {
	var send *engineclient.SendError
	if !errors.As(err, &send) {
		panic("proxy: untyped send error: " + err.Error())
	}
	reason := send.Reason
	if ctx.Err() != nil {
		reason = cutReason(ctx, err)
	}
	return result{failure: x.failure(v, reason, send.NotStarted)}
}

func (x *forwardExchange) failure(v scheduler.Decision, reason outcome.Reason, notStarted bool) schedcore.Failure {
	return schedcore.Failure{ID: x.call.id, Attempt: v.Attempt, Reason: reason, NotStarted: notStarted}
}

// serveService answers POST /v1/services/{name}/...
func (p *Proxy) serveService(w http.ResponseWriter, r *http.Request) {
	c, refusal := p.admit(r)
	if refusal == nil {
		refusal = c.setRoute(r.PathValue("name"), true)
	}
	if refusal == nil {
		c.body, refusal = p.readBody(w, r)
	}
	if refusal != nil {
		p.rejectInput(w, refusal)
		return
	}
	w.Header().Set(HeaderRequestID, c.name())
	p.forward(r.Context(), w, c, newServiceForward(c, r))
}

// forward runs a request whose answer is taken whole.
func (p *Proxy) forward(ctx context.Context, w http.ResponseWriter, c *call, x *forwardExchange) {
	x.proxy = p
	held, kept, refusal := p.claim(ctx, c)
	if kept != nil {
		p.replay(w, c, kept, false)
		return
	}
	if refusal == nil {
		refusal = p.dispatch(ctx, c, x, c.ticket())
		p.settle(held, refusal, idempotency.Outcome{Status: x.status, Body: x.answer})
	}
	class := p.Metrics.Class(c.class.Name)
	if refusal != nil {
		p.countRefusal(c, refusal)
		if refusal.Final != outcome.Abandoned {
			refusal.write(w)
		}
		return
	}
	p.pass(w, x.status, x.content, x.answer)
	class.CountFinal(outcome.Completed)
	class.CountTarget(c.metWhole(time.Now()))
}

// metWhole tells whether an answer came within the class's target for it.
func (c *call) metWhole(now time.Time) bool {
	target := c.class.Spec.WholeAnswer.Std()
	return target <= 0 || now.Sub(c.arrived) <= target
}
