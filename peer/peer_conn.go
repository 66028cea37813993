package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// Bounds of the backoff after a failed attempt to connect.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// maxUnansweredCalls is the number of consecutive calls without a response
// after which a connection is replaced.
const maxUnansweredCalls = 3

// ErrUnreachable reports that no connection to the peer could be made, or that
// it broke during the call. If the connection broke, the call may have taken
// effect.
var ErrUnreachable = errors.New("peer: unreachable")

// errBackoff wraps ErrUnreachable. Calls during the backoff return it without
// an attempt to connect.
var errBackoff = errors.Wrap(ErrUnreachable, "waiting for the backoff to pass")

// peerConn holds the connection to one peer and reconnects when needed.
type peerConn struct {
	transport *QUIC
	address   netip.AddrPort

	mu         sync.Mutex
	conn       *quic.Conn
	unanswered int           // calls in a row without a response
	dialing    chan struct{} // closed when the running attempt to connect ends; nil if none runs
	backoff    time.Duration // the latest backoff; zero after a connection was made
	retryAt    time.Time     // no attempt to connect before this time
}

// peerConn returns the peerConn of an address and creates it if there is none
// yet.
func (q *QUIC) peerConn(to netip.AddrPort) (*peerConn, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, ErrClosed
	}
	pc, ok := q.conns[to]
	if !ok {
		pc = &peerConn{transport: q, address: to}
		q.conns[to] = pc
	}
	return pc, nil
}

// connect returns the existing connection. If there is none, it waits for a new
// connection, which concurrent callers share.
func (pc *peerConn) connect(ctx context.Context) (*quic.Conn, error) {
	conn, dialing, err := pc.connOrDialing()
	if conn != nil || err != nil {
		return conn, err
	}
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn == nil {
		return nil, errors.Wrap(ErrUnreachable, "connect")
	}
	return pc.conn, nil
}

// connOrDialing returns the connection if there is a working one. Otherwise it
// returns a channel that is closed when the current attempt to connect ends. If
// no attempt is running, it starts one.
func (pc *peerConn) connOrDialing() (*quic.Conn, <-chan struct{}, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil && pc.conn.Context().Err() != nil {
		pc.conn = nil
	}
	if pc.conn != nil {
		return pc.conn, nil, nil
	}
	if pc.dialing != nil {
		return nil, pc.dialing, nil
	}
	if time.Now().Before(pc.retryAt) {
		return nil, nil, errBackoff
	}
	done := make(chan struct{})
	if !pc.transport.startTask(func() { pc.dial(done) }) {
		return nil, nil, ErrClosed
	}
	pc.dialing = done
	return nil, done, nil
}

// dial makes one attempt to connect, and closes done when the attempt ends.
func (pc *peerConn) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(pc.transport.ctx, handshakeTimeout)
	defer cancel()
	q := pc.transport
	conn, err := q.quic.Dial(ctx, net.UDPAddrFromAddrPort(pc.address), q.identity.clientTLS(pc.address.Addr().String()), q.config)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	defer close(done)
	pc.dialing = nil
	if err != nil {
		pc.increaseBackoff()
		return
	}
	pc.conn = conn
	pc.unanswered = 0
	pc.backoff = 0
}

// increaseBackoff doubles the backoff and adds jitter, so that peers do not
// reconnect at the same time.
func (pc *peerConn) increaseBackoff() {
	pc.backoff = min(max(2*pc.backoff, minBackoff), maxBackoff)
	jittered := pc.backoff/2 + rand.N(pc.backoff/2)
	pc.retryAt = time.Now().Add(jittered)
}

// recordResult counts calls without a response and drops the connection after
// maxUnansweredCalls of them in a row. Calls that the caller cancelled are
// ignored.
func (pc *peerConn) recordResult(conn *quic.Conn, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != conn {
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, ErrUnreachable) {
		pc.unanswered = 0
		return
	}
	pc.unanswered++
	if pc.unanswered < maxUnansweredCalls {
		return
	}
	pc.conn = nil
	_ = conn.CloseWithError(0, "unanswered calls")
}
