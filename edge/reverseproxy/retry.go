package reverseproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// maxAnswerBytes bounds an answer that is taken whole.
const maxAnswerBytes = 16 << 20

// exchange brings one request to its end.
type exchange struct {
	front *Handler
	call  *call
	w     http.ResponseWriter
	// caller ends when the caller leaves.
	caller context.Context

	// class counts for the request's kind and rank.
	class  *metrics.ClassMetrics
	stream relay
	// spare is a server's own failure, passed on if no other server answers.
	spare *wholeAnswer
	last  failure
}

// failure is how an attempt failed.
type failure struct {
	reason outcome.Reason
	// ran says that the server may have run the request.
	ran bool
	err error
}

// wholeAnswer is a server's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	server string
}

// run tries servers until the request has its answer.
func (x *exchange) run(ctx context.Context) {
	c := x.call
	c.tried = make(map[string]bool)
	for {
		a, refused := x.front.place(c)
		if refused != nil {
			x.giveUp(refused)
			return
		}
		c.tried[a.Server.ID] = true
		c.sends++
		x.logSent(&a)
		done, failed := x.attempt(ctx, &a)
		if done {
			return
		}
		if x.caller.Err() != nil {
			// What broke then is the connection that was closed for that.
			failed.reason = outcome.CallerLeft
		}
		x.last = failed
		if failed.ran {
			c.ran++
		}
		x.logFailed(&a, failed)
		if failed.reason == outcome.CallerLeft {
			x.left()
			return
		}
		if !x.mayGoOn(ctx) {
			x.giveUp(nil)
			return
		}
		x.front.Metrics.CountRetry(failed.reason)
	}
}

// mayGoOn reports whether the request may be sent to another server.
func (x *exchange) mayGoOn(ctx context.Context) bool {
	c := x.call
	switch {
	case ctx.Err() != nil:
		return false
	case c.ran > 0 && !c.route.MayRetry():
		return false
	case c.ran >= c.route.MaxServers:
		return false
	}
	return x.front.Selector.AllowRetry(c.service.Name)
}

// giveUp gives the final answer after no server did. Refused is why no further
// server was tried, or nil.
func (x *exchange) giveUp(refused *refusal) {
	c := x.call
	if x.stream.begun {
		x.breakOff()
	}
	if x.spare != nil {
		x.pass(x.spare)
		return
	}
	switch {
	case c.ran > 0:
		refused = mayHaveRun(x.last.reason)
	case refused == nil && time.Until(c.deadline) <= 0:
		refused = notRun(outcome.DeadlinePassed, returnSoon)
	case refused == nil:
		refused = notRun(x.last.reason, returnSoon)
	}
	x.class.CountFinal(finalOf(c))
	x.front.finish(x.w, c, refused)
}

func finalOf(c *call) outcome.Final {
	if c.ran > 0 {
		return outcome.Unknown
	}
	return outcome.Refused
}

// breakOff ends a stream that can't be completed without its end.
func (x *exchange) breakOff() {
	c := x.call
	x.class.CountFinal(outcome.Unknown)
	x.front.Failures.Warn("broken off", "request", c.id, "reason", x.last.reason.String(), "events", x.stream.events,
		"sends", c.sends, "elapsed_ms", time.Since(c.arrived).Milliseconds())
	// The server closes the connection without completing the answer.
	panic(http.ErrAbortHandler)
}

// left records that the caller is gone.
func (x *exchange) left() {
	c := x.call
	x.class.CountFinal(outcome.Abandoned)
	x.front.Failures.Info("caller left", "request", c.id, "sends", c.sends, "elapsed_ms", time.Since(c.arrived).Milliseconds())
	if x.stream.begun {
		panic(http.ErrAbortHandler)
	}
}

// logSent records where a request goes and why there. The line is written before
// the send, so that it outlives an instance that is killed meanwhile.
func (x *exchange) logSent(a *balancer.Attempt) {
	c := x.call
	x.front.Successes.Info("sent",
		"request", c.id, "route", c.route.Name, "server", a.Server.ID, "data_centre", a.Server.DataCentre, "send", c.sends,
		"rank", c.priority(), "left_ms", time.Until(c.deadline).Milliseconds(), "prompt", c.prompt.Tokens, "kept", a.CachedTokens,
		"expected_ms", a.ExpectedDelay.Milliseconds(), "cost", a.Cost, "slowness", a.Slowness,
		"running", a.Load.Running, "unread", a.Load.Unread, "candidates", a.Candidates)
}

func (x *exchange) logFailed(a *balancer.Attempt, failed failure) {
	text := ""
	if failed.err != nil {
		text = failed.err.Error()
	}
	silent := time.Duration(0)
	if x.stream.begun {
		silent = time.Since(x.stream.lastAt)
	}
	x.front.Failures.Warn("attempt failed",
		"request", x.call.id, "server", a.Server.ID, "data_centre", a.Server.DataCentre, "reason", failed.reason.String(),
		"may_have_run", failed.ran, "detail", text, "route", x.call.route.Name,
		"events", x.stream.events, "silent_ms", silent.Milliseconds(),
		"elapsed_ms", time.Since(x.call.arrived).Milliseconds(), "expected_ms", a.ExpectedDelay.Milliseconds())
}

// attempt sends the request to a server and relays the answer. It reports
// whether the caller has its final answer.
func (x *exchange) attempt(ctx context.Context, a *balancer.Attempt) (done bool, failed failure) {
	result := balancer.Cancelled
	defer func() { x.front.Selector.EndAttempt(a, result) }()
	answer, err := x.front.Client.Send(ctx, x.front.serverOf(x.call, a), x.call.message(a, x.stream.lastID(x.call)))
	if err != nil {
		failed = sendFailure(err)
		result = x.blame(failed)
		return false, failed
	}
	defer answer.Close()
	done, failed = x.take(answer, a)
	if done {
		result = balancer.Succeeded
	} else {
		result = x.blame(failed)
	}
	return done, failed
}

func sendFailure(err error) failure {
	var send *engineclient.SendError
	if !errors.As(err, &send) {
		panic("reverseproxy: untyped send error: " + err.Error())
	}
	return failure{reason: send.Reason, ran: !send.NotStarted, err: err}
}

// blame says what a failure tells of the server.
func (x *exchange) blame(failed failure) balancer.AttemptResult {
	switch {
	case x.caller.Err() != nil, failed.reason == outcome.CallerLeft:
		return balancer.Cancelled
	case errors.Is(failed.err, syscall.ECONNREFUSED), errors.Is(failed.err, syscall.ECONNRESET):
		// The server's machine said so, so the way to it stands.
		return balancer.Failed
	case failed.reason == outcome.ServerUnreachable, failed.reason == outcome.ServerTimeout:
		return balancer.NoResponse
	}
	return balancer.Failed
}

// take reads a server's answer and passes it on.
func (x *exchange) take(answer *backendclient.Response, a *balancer.Attempt) (bool, failure) {
	if platform.StatesNotExecuted(answer.Response) {
		// What is left of the refusal decides only whether the connection is
		// kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxAnswerBytes))
		if platform.StatesServerMoved(answer.Response) {
			return false, failure{reason: outcome.ServerMoved}
		}
		return false, failure{reason: outcome.ServerRefused}
	}
	succeeded := answer.StatusCode/100 == 2
	if succeeded && !genuine(answer.Header) {
		return false, failure{reason: outcome.Garbled, ran: true}
	}
	if succeeded && x.call.route.Kind == catalog.Stream {
		return x.relay(answer, a)
	}
	if x.stream.begun {
		return false, failure{reason: outcome.ServerError, ran: true, err: errors.Errorf("status %d", answer.StatusCode)}
	}
	return x.takeWhole(answer, a)
}

// genuine reports whether a success can be a server's own.
func genuine(h http.Header) bool {
	return h.Get(platform.HeaderServerStamp) != "" && h.Get("Content-Encoding") == ""
}

// takeWhole reads an answer to its end before any of it is passed on.
func (x *exchange) takeWhole(answer *backendclient.Response, a *balancer.Attempt) (bool, failure) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return false, failure{reason: cutReason(err), ran: true, err: err}
	}
	if len(body) > maxAnswerBytes {
		return false, failure{reason: outcome.ServerError, ran: true, err: errors.New("the answer is above the limit")}
	}
	x.front.Selector.RecordFirstEvent(a)
	whole := &wholeAnswer{status: answer.StatusCode, header: platform.ForwardedResponseHeader(answer.Header), body: body, server: a.Server.ID}
	if whole.status >= http.StatusInternalServerError {
		x.spare = whole
		return false, failure{reason: outcome.ServerError, ran: true, err: errors.Errorf("status %d", whole.status)}
	}
	x.pass(whole)
	return true, failure{}
}

// cutReason says why an answer ended early. The instance itself closes a
// connection only when the request's time is over or its caller left, which the
// caller's context tells.
func cutReason(err error) outcome.Reason {
	var timeout interface{ Timeout() bool }
	if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
		return outcome.ServerTimeout
	}
	return outcome.StreamCut
}

// pass writes a server's own answer.
func (x *exchange) pass(whole *wholeAnswer) {
	copyHeader(x.w, whole.header)
	if !bodyless(x.call.method, whole.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	}
	x.w.WriteHeader(whole.status)
	// A failed write means that the caller left.
	_, _ = x.w.Write(whole.body)
	x.logAnswered(whole.server, whole.status)
}

func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// copyHeader sets the answer's header and keeps net/http from guessing a type.
func copyHeader(w http.ResponseWriter, from http.Header) {
	h := w.Header()
	for name, values := range from {
		h[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// onTime reports whether an answer that took this long met its objective.
func (x *exchange) onTime(took time.Duration) bool {
	route := x.call.route
	if !x.stream.begun {
		return took <= route.LatencyTarget
	}
	return x.stream.first <= route.LatencyTarget && (route.MaxEventGap <= 0 || x.stream.longest <= route.MaxEventGap)
}

func (x *exchange) logAnswered(server string, status int) {
	c := x.call
	took := time.Since(c.arrived)
	x.class.CountFinal(outcome.Completed)
	x.class.CountTarget(x.onTime(took))
	x.class.ObserveWholeAnswer(took)
	x.front.Successes.Info("answered",
		"request", c.id, "route", c.route.Name, "server", server, "status", status, "sends", c.sends,
		"events", x.stream.events, "first_ms", x.stream.first.Milliseconds(), "pause_ms", x.stream.longest.Milliseconds(),
		"elapsed_ms", took.Milliseconds(), "objective_ms", c.route.LatencyTarget.Milliseconds())
}
