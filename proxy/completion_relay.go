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
	// streamHoldTimeout is how long an engine keeps a cut stream so that it can
	// be resumed.
	streamHoldTimeout = 5 * time.Second
	// maxResumes limits the resumes of one attempt.
	maxResumes = 3
	// resumeDelay is the time to wait before a resume.
	resumeDelay = 20 * time.Millisecond
	// minProgressInterval is the minimum time between two progress reports of a
	// stream.
	minProgressInterval = time.Second
	// maxProgressInterval is the maximum time between two progress reports. It
	// is far below the time for which a scheduler keeps a request without
	// reports.
	maxProgressInterval = 10 * time.Second
	// progressIntervalPerStream is what each open stream adds to the interval
	// between progress reports, so that an instance with up to 500 open streams sends at most 50 reports a
	// second.
	progressIntervalPerStream = 20 * time.Millisecond
)

// completionRelay sends a completion as a stream and relays its frames.
type completionRelay struct {
	proxy    *Proxy
	request  *request
	chat     *chatRequest
	response callerResponse
	session  scheduler.Session

	// errorResponse is a backend server's own error response to the request, or
	// nil.
	errorResponse *engineclient.ResponseError

	// whole is the answer that all attempts together relayed to the caller.
	// delivered is its number of tokens; firstAt and lastAt are the times of its
	// first and last token.
	whole     wholeCompletion
	delivered int
	firstAt   time.Time
	lastAt    time.Time
}

// attempt is the state of one send of the completion to one backend server.
type attempt struct {
	number            uint32
	id                string
	server            string
	sent              time.Time
	sawFirstToken     bool
	lastReport        time.Time
	tokens            int
	tokensSinceReport int
}

// attempt sends the completion to the granted server as a stream and relays the
// stream. It implements attemptRunner.
func (cr *completionRelay) attempt(ctx context.Context, session scheduler.Session, server netip.AddrPort, decision scheduler.Decision) result {
	cr.session = session
	cr.proxy.streams.Add(1)
	defer cr.proxy.streams.Add(-1)
	a := &attempt{
		number: decision.Attempt,
		id:     cr.request.attemptID(decision.Attempt),
		server: server.String(),
		sent:   time.Now(),
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(cr.proxy.Limits.StallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()

	stream, err := cr.proxy.Engine.Complete(ctx, engineclient.StreamRequest{
		Address:     a.server,
		Attempt:     a.id,
		Priority:    decision.Priority,
		HoldTimeout: streamHoldTimeout,
		Body:        cr.chat.streamBody(cr.request.model, cr.whole.text.String(), cr.delivered),
	})
	if err != nil {
		return cr.sendFailed(ctx, a, err)
	}
	err = cr.relayStream(ctx, a, stream, stall)
	if err == nil {
		return result{completed: true, completion: cr.completionReport(a)}
	}
	cr.cancelAttempt(a)
	return result{failure: cr.failure(a, failureReason(ctx, err))}
}

// sendFailed converts a failure to open the stream into the attempt's result.
func (cr *completionRelay) sendFailed(ctx context.Context, a *attempt, err error) result {
	var responseErr *engineclient.ResponseError
	if errors.As(err, &responseErr) && cr.delivered > 0 {
		return result{failure: cr.failure(a, outcome.ServerError)}
	}
	if responseErr != nil {
		cr.errorResponse = responseErr
		return result{completed: true, completion: cr.completionReport(a)}
	}
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) {
		panic("proxy: send error is not an engineclient.SendError: " + err.Error())
	}
	failure := cr.failure(a, sendErr.Reason)
	failure.NotStarted = sendErr.NotStarted
	if !failure.NotStarted {
		cr.cancelAttempt(a)
	}
	if ctx.Err() != nil {
		failure.Reason = failureReason(ctx, err)
	}
	return result{failure: failure}
}

// relayStream relays frames until the answer ends, and resumes a cut stream.
func (cr *completionRelay) relayStream(ctx context.Context, a *attempt, stream *engineclient.Stream, stall *time.Timer) error {
	for resumes := 0; ; resumes++ {
		err := cr.relayFrames(a, stream, stall)
		received := stream.Position()
		_ = stream.Close()
		if !errors.Is(err, engineclient.ErrStreamCut) || resumes == maxResumes {
			return err
		}
		if !wait(ctx, resumeDelay) {
			return err
		}
		resumed, resumeErr := cr.proxy.Engine.Resume(ctx, a.server, a.id, received)
		if resumeErr != nil {
			return err
		}
		cr.proxy.Metrics.CountRetry(outcome.Resumed)
		stream = resumed
	}
}

// relayFrames relays the frames that arrive over one connection.
func (cr *completionRelay) relayFrames(a *attempt, stream *engineclient.Stream, stall *time.Timer) error {
	for frame, err := range stream.Frames() {
		if err != nil {
			return err
		}
		stall.Reset(cr.proxy.Limits.StallTimeout)
		if err := cr.relayFrame(a, frame.Data); err != nil {
			return err
		}
	}
	return nil
}

// errServerFailed reports that the backend server ended the stream with an
// error.
var errServerFailed = errors.New("the backend server ended the stream with an error")

// relayFrame relays one frame to the caller.
func (cr *completionRelay) relayFrame(a *attempt, data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(errServerFailed, err.Error())
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return errServerFailed
	}
	// cr.delivered counts the tokens of all attempts, and a.tokens those of this
	// attempt. They differ only if an earlier attempt delivered tokens.
	continued := cr.delivered > a.tokens
	if continued && c.onlyRole() {
		return nil
	}
	if c.Usage != nil {
		data = cr.correctUsage(&c, data, continued)
	}
	cr.whole.add(&c)
	if c.content() != "" {
		cr.countToken(a)
	}
	if err := cr.response.writeChunk(&c, replaceID(data, c.ID, cr.whole.firstChunk.ID)); err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	return nil
}

// correctUsage corrects the token counts of an answer that was continued at
// another backend server. That server counts only the tokens that it generated
// itself. correctUsage returns the frame's data with the corrected counts.
func (cr *completionRelay) correctUsage(c *chunk, data string, continued bool) string {
	if !continued {
		return data
	}
	c.Usage.PromptTokens = cr.request.promptTokens
	c.Usage.CompletionTokens = cr.delivered
	c.Usage.TotalTokens = c.Usage.PromptTokens + c.Usage.CompletionTokens
	if !c.onlyUsage() {
		return data
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(data), &fields); err != nil {
		panic("proxy: a chunk that was decoded before can't be decoded: " + err.Error())
	}
	fields["usage"] = encode(c.Usage)
	return string(encode(fields))
}

// countToken counts a token and reports progress to the scheduler at intervals.
func (cr *completionRelay) countToken(a *attempt) {
	now := time.Now()
	cr.delivered++
	a.tokens++
	a.tokensSinceReport++
	cr.lastAt = now
	if cr.firstAt.IsZero() {
		cr.firstAt = now
	}
	if !a.sawFirstToken {
		a.sawFirstToken = true
		a.lastReport = now
		a.tokensSinceReport = 0
		cr.session.FirstToken(a.number, now.Sub(a.sent))
		return
	}
	if elapsed := now.Sub(a.lastReport); elapsed >= cr.proxy.progressInterval() {
		cr.session.Progress(a.number, a.tokensSinceReport, elapsed/time.Duration(a.tokensSinceReport))
		a.lastReport = now
		a.tokensSinceReport = 0
	}
}

// progressInterval returns the time between two progress reports of each
// stream.
func (p *Proxy) progressInterval() time.Duration {
	interval := time.Duration(p.streams.Load()) * progressIntervalPerStream
	return min(max(interval, minProgressInterval), maxProgressInterval)
}

// completionReport returns the report to the scheduler on a completed attempt. The
// backend server's own count of prompt tokens replaces the estimate.
func (cr *completionRelay) completionReport(a *attempt) schedcore.Completion {
	report := schedcore.Completion{ID: cr.request.id, Attempt: a.number, Tokens: cr.delivered, PromptTokens: cr.request.promptTokens}
	if u := cr.whole.usage; u != nil {
		report.PromptTokens = u.PromptTokens
		report.CachedTokens = u.cached()
	}
	return report
}

func (cr *completionRelay) failure(a *attempt, reason outcome.Reason) schedcore.Failure {
	return schedcore.Failure{ID: cr.request.id, Attempt: a.number, Reason: reason, Delivered: cr.delivered}
}

// failureReason returns the reason for which an attempt ended early.
func failureReason(ctx context.Context, err error) outcome.Reason {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errPreempted):
		return outcome.Preempted
	case errors.Is(cause, errStalled):
		return outcome.ServerTimeout
	case errors.Is(cause, errDeadline):
		return outcome.DeadlinePassed
	case errors.Is(err, errCallerLeft), errors.Is(cause, context.Canceled):
		return outcome.CallerLeft
	case errors.Is(err, errServerFailed):
		return outcome.ServerError
	default:
		return outcome.StreamCut
	}
}

// cancelAttempt cancels the attempt at the backend server in the background.
func (cr *completionRelay) cancelAttempt(a *attempt) {
	cr.proxy.background.Go(func() {
		// The error is ignored: a server that misses the cancellation drops the
		// stream by itself after streamHoldTimeout.
		_ = cr.proxy.Engine.Cancel(context.Background(), a.server, a.id)
	})
}

// wait blocks for the duration d or until ctx ends. It returns false if ctx ended
// first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
