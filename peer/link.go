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

// Bounds of the pause after a failed attempt to connect.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// maxUnanswered is the number of calls in a row without an answer after which
// a connection is replaced.
const maxUnanswered = 3

// ErrUnreachable reports that no connection to the peer could be made or that
// it broke during the call, which may have taken effect.
var ErrUnreachable = errors.New("peer: unreachable")

// errBackoff is an ErrUnreachable without an attempt to connect.
var errBackoff = errors.Wrap(ErrUnreachable, "in backoff")

// link keeps the one connection to a peer.
type link struct {
	owner *QUIC
	to    netip.AddrPort

	mu         sync.Mutex
	conn       *quic.Conn
	unanswered int
	dialing    chan struct{} // closed at the end of the attempt, nil if none runs
	backoff    time.Duration
	notBefore  time.Time
}

func (q *QUIC) link(to netip.AddrPort) (*link, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, ErrClosed
	}
	l, ok := q.peers[to]
	if !ok {
		l = &link{owner: q, to: to}
		q.peers[to] = l
	}
	return l, nil
}

// connection returns the kept connection, or a new one that all callers share.
func (l *link) connection(ctx context.Context) (*quic.Conn, error) {
	conn, dialing, err := l.current()
	if conn != nil || err != nil {
		return conn, err
	}
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, errors.Wrap(ErrUnreachable, "connect")
	}
	return l.conn, nil
}

func (l *link) current() (*quic.Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() != nil {
		l.conn = nil
	}
	if l.conn != nil {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if time.Now().Before(l.notBefore) {
		return nil, nil, errBackoff
	}
	done := make(chan struct{})
	if !l.owner.start(func() { l.dial(done) }) {
		return nil, nil, ErrClosed
	}
	l.dialing = done
	return nil, done, nil
}

func (l *link) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(l.owner.ctx, handshakeTimeout)
	defer cancel()
	q := l.owner
	conn, err := q.quic.Dial(ctx, net.UDPAddrFromAddrPort(l.to), q.identity.clientTLS(l.to.Addr().String()), q.config)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialing = nil
	if err != nil {
		l.postpone()
		return
	}
	l.conn = conn
	l.unanswered = 0
	l.backoff = 0
}

// postpone doubles the backoff, with jitter so that peers do not reconnect in
// step.
func (l *link) postpone() {
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	jittered := l.backoff/2 + rand.N(l.backoff/2)
	l.notBefore = time.Now().Add(jittered)
}

// observe takes a call's result and drops a connection that answers nothing. A
// call that its caller gave up says nothing.
func (l *link) observe(conn *quic.Conn, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, ErrUnreachable) {
		l.unanswered = 0
		return
	}
	l.unanswered++
	if l.unanswered < maxUnanswered {
		return
	}
	l.conn = nil
	_ = conn.CloseWithError(0, "unanswered calls")
}
