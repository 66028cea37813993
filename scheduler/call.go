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
	// maxExtensions is how many times a call may start over with a new timeout if
	// this process is overloaded.
	maxExtensions = 3
)

// errNoResponse is the error of a call if the peer did not respond in time.
var errNoResponse = errors.New("scheduler: the peer did not respond in time")

type callResult[Resp any] struct {
	value Resp
	err   error
}

// callWithRetry sends a message to a peer. If no response has arrived after half
// of the timeout, it sends the message again, so the message must be idempotent.
// It returns the first response. If no response arrives in time, it returns
// errNoResponse. But if timers of this process fired late, the delay may be the
// fault of this process. The call then starts over with a new timeout, at most
// maxExtensions times.
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

// awaitResult waits for at most the duration d. If a response arrives, or an error
// that the peer returned, awaitResult returns it and sets ok. Other errors, such
// as a lost connection, don't end the wait. If no result arrives and the timer
// fires more than maxTimerDelay late, awaitResult sets timerLate.
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
