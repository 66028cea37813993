package scheduler

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// lateTolerance is a delay of the own timers that is no sign of an
	// overloaded process.
	lateTolerance = 15 * time.Millisecond
	// maxExtensions bounds how often an overloaded process waits longer.
	maxExtensions = 3
)

// errSilent reports that a peer gave no answer in time.
var errSilent = errors.New("scheduler: no answer in time")

type reply[Resp any] struct {
	value Resp
	err   error
}

// ask sends a message, and once more after half of limit. It returns the first
// answer, or errSilent once limit passed without one. If the own timers were
// late, the peer gets limit again: the delay may be this process's. The
// message must be idempotent.
func ask[Req, Resp any](ctx context.Context, r *Remote, to netip.AddrPort, kind peer.Kind, req Req, limit time.Duration) (Resp, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply[Resp], 2*(maxExtensions+1))
	send := func() {
		value, err := peer.Call[Req, Resp](ctx, r.opts.Transport, to, kind, req)
		replies <- reply[Resp]{value, err}
	}
	var zero Resp
	for range maxExtensions + 1 {
		r.start(send)
		answer, late, ok := await(ctx, replies, limit/2)
		if ok {
			return answer.value, answer.err
		}
		r.events.add(Resent)
		r.start(send)
		answer, lateAgain, ok := await(ctx, replies, limit/2)
		if ok {
			return answer.value, answer.err
		}
		if ctx.Err() != nil {
			return zero, ctx.Err()
		}
		if !late && !lateAgain {
			return zero, errSilent
		}
		r.events.add(LocalDelay)
	}
	return zero, errSilent
}

// await waits for an answer. Attempts that failed on the way are no answer.
// Late reports that the wait took longer than it should have.
func await[Resp any](ctx context.Context, replies <-chan reply[Resp], d time.Duration) (answer reply[Resp], late, ok bool) {
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case answer = <-replies:
			var refused *peer.RemoteError
			if answer.err == nil || errors.As(answer.err, &refused) {
				return answer, false, true
			}
		case <-timer.C:
			return answer, time.Since(start) > d+lateTolerance, false
		case <-ctx.Done():
			return answer, false, false
		}
	}
}
