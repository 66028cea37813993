package peer

import (
	"context"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Kind identifies the type of a message. The numbers are part of the wire
// format and must not change.
type Kind uint8

// The message kinds.
const (
	KindHeartbeat Kind = iota + 1
	KindLeave
	KindTickets
	KindDecisions
	KindCompletions
	KindConfigPush
	KindConfigDigest
	KindConfigFetch
	KindDrainCount
	KindFreeCapacity
)

// MaxMessageBytes limits the size of one encoded message.
const MaxMessageBytes = 256 << 10

// ErrNoHandler reports a message of a kind for which the receiver has no
// handler.
var ErrNoHandler = errors.New("peer: no handler for this kind")

// ErrMalformed reports a message that can't be decoded.
var ErrMalformed = errors.New("peer: malformed message")

// ErrTooLarge reports a message larger than MaxMessageBytes.
var ErrTooLarge = errors.New("peer: message too large")

// Handler processes one encoded message and returns the encoded response. The
// argument from is the address at which the sender listens.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) ([]byte, error)

// Transport carries encoded messages. It is safe for concurrent use.
type Transport interface {
	// Call sends a message to the instance that listens at the address to, and
	// returns its response. If ctx ends first, Call returns an error.
	Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error)
	// Handle registers the handler of a kind. It must be called before messages
	// arrive.
	Handle(kind Kind, h Handler)
	// Local returns the address at which this instance listens.
	Local() netip.AddrPort
}

// Call encodes req, sends it and decodes the response.
func Call[Req, Resp any](ctx context.Context, t Transport, to netip.AddrPort, kind Kind, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, errors.Wrap(err, "encode")
	}
	if len(body) > MaxMessageBytes {
		return resp, ErrTooLarge
	}
	responseBody, err := t.Call(ctx, to, kind, body)
	if err != nil {
		return resp, err
	}
	if err := cbor.Unmarshal(responseBody, &resp); err != nil {
		return resp, errors.Wrap(ErrMalformed, err.Error())
	}
	return resp, nil
}

// Handle registers a handler that gets decoded requests and returns responses
// to be encoded.
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
