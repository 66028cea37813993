package scheduler

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// maxTimerDelay is how late a timer may fire before this process counts as
	// overloaded.
	maxTimerDelay = 15 * time.Millisecond
	// maxExtensions is how many further timeouts a call may wait if this process
	// is overloaded.
	maxExtensions = 3
)

// errNoResponse means that a peer did not respond in time.
var errNoResponse = errors.New("scheduler: the peer did not respond in time")

type callResult[Resp any] struct {
	value Resp
	err   error
}

// callWithRetry sends a message to a peer, and sends it again if no response has
// arrived after half of the timeout. It returns the first response, or
// errNoResponse if none arrives in time. If timers of this process fired late,
// this process may have caused the delay and not the peer; the call then starts
// over with a new timeout, at most maxExtensions times. The message must be
// idempotent.
func callWithRetry[Req, Resp any](ctx context.Context, r *Remote, to netip.AddrPort, kind peer.Kind, req Req, timeout time.Duration) (Resp, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult[Resp], 2*(maxExtensions+1))
	send := func() {
		value, err := peer.Call[Req, Resp](ctx, r.opts.Transport, to, kind, req)
		results <- callResult[Resp]{value, err}
	}
	var zero Resp
	for range maxExtensions + 1 {
		r.start(send)
		result, timerLate, ok := awaitResult(ctx, results, timeout/2)
		if ok {
			return result.value, result.err
		}
		r.events.add(Resent)
		r.start(send)
		result, timerLateAgain, ok := awaitResult(ctx, results, timeout/2)
		if ok {
			return result.value, result.err
		}
		if ctx.Err() != nil {
			return zero, ctx.Err()
		}
		if !timerLate && !timerLateAgain {
			return zero, errNoResponse
		}
		r.events.add(LocalDelay)
	}
	return zero, errNoResponse
}

// awaitResult waits up to d for a response or for an error that the peer
// returned. Other errors, such as a lost connection, don't end the wait. It
// sets timerLate if its timer fired more than maxTimerDelay late.
func awaitResult[Resp any](ctx context.Context, results <-chan callResult[Resp], d time.Duration) (result callResult[Resp], timerLate, ok bool) {
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case result = <-results:
			var remoteError *peer.RemoteError
			if result.err == nil || errors.As(result.err, &remoteError) {
				return result, false, true
			}
		case <-timer.C:
			return result, time.Since(start) > d+maxTimerDelay, false
		case <-ctx.Done():
			return result, false, false
		}
	}
}
