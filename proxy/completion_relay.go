package proxy

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
)

const (
	// streamHold is how long an engine keeps a cut stream for a resume.
	streamHold = 5 * time.Second
	// maxResumes bounds the resumes of one attempt.
	maxResumes = 3
	// resumeDelay is the time before a resume.
	resumeDelay = 20 * time.Millisecond
	// minProgressInterval is the time between two progress reports of a stream
	// at the least.
	minProgressInterval = time.Second
	// maxProgressInterval is that at the most. It stays far below the time for
	// which a scheduler keeps a silent request.
	maxProgressInterval = 10 * time.Second
	// progressShare is what each open stream adds to the interval, so that an
	// instance sends at most 50 reports a second.
	progressShare = 20 * time.Millisecond
)

// completionExchange sends a completion as a stream and relays its frames.
type completionExchange struct {
	proxy   *Proxy
	call    *call
	prompt  *prompt
	answer  answer
	session scheduler.Session

	// passed is a server's own error answer to the request, or nil.
	passed *engineclient.ResponseError

	// What the caller has, over all attempts.
	gathered  gathered
	delivered int
	firstAt   time.Time
	lastAt    time.Time
}

// attempt is one attempt's own state.
type attempt struct {
	number   uint32
	name     string
	server   string
	sent     time.Time
	first    bool
	reported time.Time
	tokens   int
	since    int
}

func (x *completionExchange) attempt(ctx context.Context, session scheduler.Session, server netip.AddrPort, v scheduler.Decision) result {
	x.session = session
	x.proxy.streams.Add(1)
	defer x.proxy.streams.Add(-1)
	a := &attempt{
		number: v.Attempt,
		name:   x.call.attemptID(v.Attempt),
		server: server.String(),
		sent:   time.Now(),
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(x.proxy.Limits.StallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()

	stream, err := x.proxy.Engine.Complete(ctx, engineclient.StreamRequest{
		Address:     a.server,
		Attempt:     a.name,
		Priority:    v.Priority,
		HoldTimeout: streamHold,
		Body:        x.prompt.streamBody(x.call.model, x.gathered.text.String(), x.delivered),
	})
	if err != nil {
		return x.notOpened(ctx, a, err)
	}
	err = x.relay(ctx, a, stream, stall)
	if err == nil {
		return result{completed: true, end: x.end(a)}
	}
	x.cancelAttempt(a)
	return result{failure: x.failure(a, cutReason(ctx, err))}
}

// notOpened turns a failed send into the attempt's result.
func (x *completionExchange) notOpened(ctx context.Context, a *attempt, err error) result {
	var verdict *engineclient.ResponseError
	if errors.As(err, &verdict) && x.delivered > 0 {
		return result{failure: x.failure(a, outcome.ServerError)}
	}
	if verdict != nil {
		x.passed = verdict
		return result{completed: true, end: x.end(a)}
	}
	var send *engineclient.SendError
	if !errors.As(err, &send) {
		panic("proxy: untyped send error: " + err.Error())
	}
	f := x.failure(a, send.Reason)
	f.NotStarted = send.NotStarted
	if !f.NotStarted {
		x.cancelAttempt(a)
	}
	if ctx.Err() != nil {
		f.Reason = cutReason(ctx, err)
	}
	return result{failure: f}
}

// relay passes frames on until the answer's end, and resumes a cut stream.
func (x *completionExchange) relay(ctx context.Context, a *attempt, stream *engineclient.Stream, stall *time.Timer) error {
	for resumes := 0; ; resumes++ {
		err := x.frames(a, stream, stall)
		last := stream.LastSeq()
		_ = stream.Close()
		if !errors.Is(err, engineclient.ErrStreamCut) || resumes == maxResumes {
			return err
		}
		if !pause(ctx, resumeDelay) {
			return err
		}
		next, resumeErr := x.proxy.Engine.Resume(ctx, a.server, a.name, last)
		if resumeErr != nil {
			return err
		}
		x.proxy.Metrics.CountRetry(outcome.Resumed)
		stream = next
	}
}

// frames passes on what one connection brings.
func (x *completionExchange) frames(a *attempt, stream *engineclient.Stream, stall *time.Timer) error {
	for frame, err := range stream.Frames() {
		if err != nil {
			return err
		}
		stall.Reset(x.proxy.Limits.StallTimeout)
		if err := x.take(a, frame.Data); err != nil {
			return err
		}
	}
	return nil
}

// errServerFailed reports a stream that the server ended with an error.
var errServerFailed = errors.New("the backend server ended the stream with an error")

// take passes one frame on.
func (x *completionExchange) take(a *attempt, data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(errServerFailed, err.Error())
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return errServerFailed
	}
	continued := x.delivered > a.tokens
	if continued && c.onlyRole() {
		return nil
	}
	if c.Usage != nil {
		data = x.wholeUsage(&c, data, continued)
	}
	x.gathered.take(&c)
	if c.content() != "" {
		x.count(a)
	}
	if err := x.answer.frame(&c, withID(data, c.ID, x.gathered.first.ID)); err != nil {
		return errors.Wrap(errLeft, err.Error())
	}
	return nil
}

// wholeUsage makes the usage after a continuation count the whole answer.
func (x *completionExchange) wholeUsage(c *chunk, data string, continued bool) string {
	if !continued {
		return data
	}
	c.Usage.PromptTokens = x.call.promptTokens
	c.Usage.CompletionTokens = x.delivered
	c.Usage.TotalTokens = c.Usage.PromptTokens + c.Usage.CompletionTokens
	if !c.onlyUsage() {
		return data
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(data), &fields); err != nil {
		panic("proxy: a decoded chunk does not decode: " + err.Error())
	}
	fields["usage"] = encode(c.Usage)
	return string(encode(fields))
}

// count notes a token and reports progress now and then.
func (x *completionExchange) count(a *attempt) {
	now := time.Now()
	x.delivered++
	a.tokens++
	a.since++
	x.lastAt = now
	if x.firstAt.IsZero() {
		x.firstAt = now
	}
	if !a.first {
		a.first = true
		a.reported = now
		a.since = 0
		x.session.FirstToken(a.number, now.Sub(a.sent))
		return
	}
	if elapsed := now.Sub(a.reported); elapsed >= x.proxy.progressInterval() {
		x.session.Progress(a.number, a.since, elapsed/time.Duration(a.since))
		a.reported = now
		a.since = 0
	}
}

// progressInterval is the time between two progress reports of each stream.
func (p *Proxy) progressInterval() time.Duration {
	shared := time.Duration(p.streams.Load()) * progressShare
	return min(max(shared, minProgressInterval), maxProgressInterval)
}

func (x *completionExchange) end(a *attempt) schedcore.Completion {
	e := schedcore.Completion{ID: x.call.id, Attempt: a.number, Tokens: x.delivered, PromptTokens: x.call.promptTokens}
	if u := x.gathered.usage; u != nil {
		e.PromptTokens = u.PromptTokens
		e.CachedTokens = u.cached()
	}
	return e
}

func (x *completionExchange) failure(a *attempt, reason outcome.Reason) schedcore.Failure {
	return schedcore.Failure{ID: x.call.id, Attempt: a.number, Reason: reason, Delivered: x.delivered}
}

// cutReason says why an attempt ended early.
func cutReason(ctx context.Context, err error) outcome.Reason {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errPreempted):
		return outcome.Preempted
	case errors.Is(cause, errStalled):
		return outcome.ServerTimeout
	case errors.Is(cause, errDeadline):
		return outcome.DeadlinePassed
	case errors.Is(err, errLeft), errors.Is(cause, context.Canceled):
		return outcome.CallerLeft
	case errors.Is(err, errServerFailed):
		return outcome.ServerError
	default:
		return outcome.StreamCut
	}
}

// cancelAttempt ends the attempt at the server without waiting for it.
func (x *completionExchange) cancelAttempt(a *attempt) {
	x.proxy.background.Go(func() {
		// The server drops the stream by itself after its hold time.
		_ = x.proxy.Engine.Cancel(context.Background(), a.server, a.name)
	})
}

// pause waits and reports whether the context still stands.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
