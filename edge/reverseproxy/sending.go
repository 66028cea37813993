package reverseproxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/outcome"
)

// errLeftForSilence reports that an attempt was ended because another server responded
// while the attempt's server was silent.
var errLeftForSilence = errors.New("another server responded while this one was silent")

// errOutrun reports that an attempt was ended because a second attempt got an answer, which
// was made because the attempt's server was slow.
var errOutrun = errors.New("a second attempt was answered before this one")

// sending is one attempt with its connection.
type sending struct {
	attempt balancer.Attempt
	// binding is what the configuration made of the request at this send.
	binding binding
	target  backendclient.Server
	request backendclient.Request
	// ctx ends with the request's context. cancel closes the connection to the server
	// earlier; it does nothing if the request may run at this server only.
	ctx    context.Context
	cancel context.CancelFunc
	// Once sent is set, either response or err is set.
	sent     bool
	ended    bool
	response *backendclient.Response
	err      error
	// left is set if another server responded while this one was silent. outrun is set too if
	// that server was asked because this one was slow.
	left, outrun atomic.Bool
	// begunAt is when the attempt began. timing describes it for the decision on second
	// attempts, and plan says when to ask for one. isSecond is set if the attempt
	// is itself one, until its result was recorded.
	begunAt  time.Time
	timing   hedging.Send
	plan     hedging.Plan
	isSecond bool
}

// newSending chooses a server for the next attempt and counts the attempt. It refuses the
// request like beginAttempt.
func (f *forwarder) newSending(ctx context.Context, begin beginFunc, open []*sending) (*sending, *refusal) {
	req := f.request
	lastEventID, known := f.stream.position.LastEventID()
	if !known {
		// No server can be told where to go on.
		return nil, refuseNotRun(outcome.NoBackendServer, retrySoon)
	}
	a, refused := f.handler.beginAttempt(req, begin, open)
	if refused != nil {
		return nil, refused
	}
	req.tried[a.Server.ID] = true
	req.sends++
	f.logSent(&a, lastEventID)
	s := &sending{
		attempt: a, binding: req.binding, target: f.handler.connectionTarget(req, &a),
		request: req.backendRequest(&a, lastEventID), ctx: ctx, cancel: func() {},
	}
	if req.mayRunBeside(s) {
		s.ctx, s.cancel = context.WithCancel(ctx)
	}
	f.beginTiming(s)
	return s, nil
}

// send sends the request and waits for the header of the response.
func (s *sending) send(h *Handler) {
	sentAt := time.Now()
	s.response, s.err = h.Client.Send(s.ctx, s.target, s.request)
	s.sent = true
	if s.err == nil {
		h.recordStatements(&s.attempt, s.response, sentAt)
		s.recordTiming(h)
	}
}

// leave ends the attempt because another server has responded.
func (s *sending) leave() {
	s.left.Store(true)
	s.cancel()
}

// failure returns why the attempt failed. seen is what its connection showed.
func (s *sending) failure(seen failure) failure {
	if s.left.Load() {
		seen.reason, seen.err = outcome.ServerTimeout, errLeftForSilence
	}
	if s.outrun.Load() {
		seen.err = errOutrun
	}
	return seen
}

// end ends the use of the connection and records the attempt's result.
func (f *forwarder) end(s *sending, result balancer.AttemptResult) {
	s.ended = true
	if s.response != nil {
		s.response.Close()
		s.attempt.ConnectionKept = s.response.ConnectionKept()
	}
	s.cancel()
	f.handler.Selector.EndAttempt(&s.attempt, result)
}

// endIfOpen ends an attempt that has not ended because of a panic, so that its connection and its
// place at the server do not stay counted.
func (f *forwarder) endIfOpen(s *sending) {
	if s.ended {
		return
	}
	if other := f.others.spoke(); other != nil {
		f.endUnneeded(other)
	}
	f.end(s, balancer.Cancelled)
}

// endUnneeded ends an attempt that has no use, for a reason that says nothing about its
// server.
func (f *forwarder) endUnneeded(s *sending) {
	f.end(s, balancer.Cancelled)
	if s.mayHaveRun() {
		f.request.recordPossibleRun(s.binding.route)
	}
	f.handler.Failures.Info("not needed", "request", f.request.id, "server", s.attempt.Server.ID, "may_have_run", s.mayHaveRun())
}
