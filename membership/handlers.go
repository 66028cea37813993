package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// maxRecords bounds the records that one message may bring.
const maxRecords = 4096

// errSender reports a message whose record is not its sender's.
var errSender = errors.New("membership: record is not the sender's")

// errTooMany reports a message with too many records.
var errTooMany = errors.New("membership: too many records")

func (g *Group) check(from netip.AddrPort, r record, updates int) error {
	if r.Address != from || r.Condition != alive {
		g.counters.add(MessageRefused)
		return errSender
	}
	if updates > maxRecords {
		g.counters.add(MessageRefused)
		return errTooMany
	}
	return nil
}

func (g *Group) serveHeartbeat(ctx context.Context, from netip.AddrPort, request heartbeat) (heartbeatAnswer, error) {
	if err := g.check(from, request.From, len(request.Updates)); err != nil {
		return heartbeatAnswer{}, err
	}
	g.merge(request.From, request.Updates)
	g.noteHeard(request.From.DataCentre)
	answer := g.answer(request)
	if request.Target.IsValid() {
		answer.Reached = g.exchange(ctx, request.Target, g.opts.HeartbeatTimeout)
	}
	return answer, nil
}

// answer tells the sender of changes, and what is held of the sender itself if
// that differs from what it says.
func (g *Group) answer(request heartbeat) heartbeatAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := heartbeatAnswer{From: g.table.self, Digest: g.table.digest()}
	if request.Digests != nil {
		out.Updates = g.table.differing(request.Digests)
	} else {
		out.Updates = g.table.updates()
	}
	if e, ok := g.table.entries[request.From.Address]; ok && e.record != request.From {
		out.Updates = append(out.Updates, e.record)
	}
	return out
}

func (g *Group) serveLeave(_ context.Context, from netip.AddrPort, request leave) (leaveAnswer, error) {
	if err := g.check(from, request.From, 0); err != nil {
		return leaveAnswer{}, err
	}
	g.update(func(now time.Time) { g.table.apply(request.From, now) })
	return leaveAnswer{}, nil
}
