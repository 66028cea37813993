package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// maxRecords limits the records in one message.
const maxRecords = 4096

// errWrongSender reports a message that carries another instance's record as
// the record of its sender.
var errWrongSender = errors.New("membership: record is not the sender's")

// errTooManyRecords reports a message with more than maxRecords records.
var errTooManyRecords = errors.New("membership: too many records")

// checkMessage returns an error in three cases: the record r of the sender has
// another address than the sender, r says that the sender is not alive, or the
// message has more than maxRecords records.
func (g *Group) checkMessage(from netip.AddrPort, r record, updateCount int) error {
	if r.Address != from || r.Condition != alive {
		g.counters.add(MessageRefused)
		return errWrongSender
	}
	if updateCount > maxRecords {
		g.counters.add(MessageRefused)
		return errTooManyRecords
	}
	return nil
}

func (g *Group) serveHeartbeat(ctx context.Context, from netip.AddrPort, request heartbeatRequest) (heartbeatResponse, error) {
	if err := g.checkMessage(from, request.From, len(request.Updates)); err != nil {
		return heartbeatResponse{}, err
	}
	g.merge(request.From, request.Updates)
	g.recordContact(request.From.DataCentre)
	response := g.buildResponse(request)
	if request.Target.IsValid() {
		response.Reached = g.exchangeHeartbeat(ctx, request.Target, g.opts.HeartbeatTimeout)
	}
	return response, nil
}

// buildResponse returns the response to a heartbeat. It carries the changed
// records that are still to be broadcast, or the differing records if the
// request carries digests. If this instance holds a record of the sender that
// differs from the one in the request, the response also carries the held
// record, so that the sender can refute it.
func (g *Group) buildResponse(request heartbeatRequest) heartbeatResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := heartbeatResponse{From: g.table.self, Digest: g.table.digest()}
	if request.Digests != nil {
		out.Updates = g.table.differingRecords(request.Digests)
	} else {
		out.Updates = g.table.takeUpdates()
	}
	if e, ok := g.table.entries[request.From.Address]; ok && e.record != request.From {
		out.Updates = append(out.Updates, e.record)
	}
	return out
}

func (g *Group) serveLeave(_ context.Context, from netip.AddrPort, request leaveRequest) (leaveResponse, error) {
	if err := g.checkMessage(from, request.From, 0); err != nil {
		return leaveResponse{}, err
	}
	g.update(func(now time.Time) { g.table.apply(request.From, now) })
	return leaveResponse{}, nil
}
