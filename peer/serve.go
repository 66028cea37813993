package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// accept accepts connections until the transport is closed.
func (q *QUIC) accept() {
	for {
		conn, err := q.listener.Accept(q.ctx)
		if err != nil {
			return
		}
		if !q.startTask(func() { q.serveConnection(conn) }) {
			_ = conn.CloseWithError(0, "closed")
			return
		}
	}
}

// serveConnection serves the streams of a connection. If the peer's certificate
// does not hold the IP address of the connection, it closes the connection.
func (q *QUIC) serveConnection(conn *quic.Conn) {
	remote := conn.RemoteAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	if err := checkCertificate(conn.ConnectionState().TLS, remote); err != nil {
		q.counters.Refused(RefusedCertificate)
		_ = conn.CloseWithError(0, "certificate")
		return
	}
	for {
		stream, err := conn.AcceptStream(q.ctx)
		if err != nil {
			return
		}
		if !q.startTask(func() { q.serveStream(conn.Context(), stream, remote) }) {
			return
		}
	}
}

// checkCertificate refuses a certificate that does not hold the IP address of
// the connection.
func checkCertificate(state tls.ConnectionState, remote netip.Addr) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(remote.String())
}

// serveStream reads one request, runs its handler and writes the response.
func (q *QUIC) serveStream(ctx context.Context, stream *quic.Stream, remote netip.Addr) {
	_ = stream.SetDeadline(time.Now().Add(requestTimeout))
	r, err := readRequest(stream)
	if err == nil && r.from.Addr() != remote {
		err = ErrAddress
	}
	var body []byte
	if err == nil {
		q.counters.Received(r.kind, RequestHeaderBytes+len(r.body))
		body, err = q.handle(ctx, r)
	}
	stream.CancelRead(0)
	s := statusOK
	if err != nil {
		s = statusForError(err)
		body = truncatedErrorText(err)
		q.counters.Refused(statusRefusals[s])
	}
	frame := appendResponse(nil, s, body)
	_ = stream.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
	q.counters.Sent(r.kind, len(frame))
}

func (q *QUIC) handle(ctx context.Context, r request) ([]byte, error) {
	q.mu.Lock()
	h, ok := q.handlers[r.kind]
	q.mu.Unlock()
	if !ok {
		return nil, ErrNoHandler
	}
	body, err := h(ctx, r.from, r.body)
	if err == nil && len(body) > MaxMessageBytes {
		err = ErrTooLarge
	}
	return body, err
}
