package peer

import (
	"context"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Kind tells the messages apart. Numbers are stable on the wire.
type Kind uint8

// The kinds of messages.
const (
	KindHeartbeat Kind = iota + 1
	KindLeave
	KindTickets
	KindDecisions
	KindReports
	KindConfigPush
	KindConfigDigest
	KindConfigFetch
	KindDrainCount
	KindFreeCapacity
)

// MaxMessageBytes bounds one encoded message.
const MaxMessageBytes = 256 << 10

// ErrNoHandler reports a message of a kind that the receiver does not serve.
var ErrNoHandler = errors.New("peer: no handler for this kind")

// ErrMalformed reports a message that does not decode.
var ErrMalformed = errors.New("peer: malformed message")

// ErrTooLarge reports a message above MaxMessageBytes.
var ErrTooLarge = errors.New("peer: message too large")

// Handler answers one encoded message.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) ([]byte, error)

// Transport carries encoded messages. It is safe for concurrent use.
type Transport interface {
	// Call returns the answer of the instance at to. It returns after the
	// answer, an error, or the end of ctx, whichever is first.
	Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error)
	// Handle registers the handler of a kind. It is called before traffic.
	// From is the address at which the sender listens.
	Handle(kind Kind, h Handler)
	// Local returns the address at which this instance listens.
	Local() netip.AddrPort
}

// Call sends req and decodes the answer.
func Call[Req, Resp any](ctx context.Context, t Transport, to netip.AddrPort, kind Kind, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, errors.Wrap(err, "encode")
	}
	if len(body) > MaxMessageBytes {
		return resp, ErrTooLarge
	}
	answer, err := t.Call(ctx, to, kind, body)
	if err != nil {
		return resp, err
	}
	if err := cbor.Unmarshal(answer, &resp); err != nil {
		return resp, errors.Wrap(ErrMalformed, err.Error())
	}
	return resp, nil
}

// Handle registers a typed handler.
func Handle[Req, Resp any](t Transport, kind Kind, serve func(ctx context.Context, from netip.AddrPort, req Req) (Resp, error)) {
	t.Handle(kind, func(ctx context.Context, from netip.AddrPort, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		resp, err := serve(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	})
}
