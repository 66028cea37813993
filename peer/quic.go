package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// Limits of the transport.
const (
	idleTimeout       = 30 * time.Second
	handshakeTimeout  = 2 * time.Second
	requestTimeout    = 5 * time.Second
	maxStreamsPerPeer = 1024
	streamWindow      = MaxMessageBytes + RequestHeaderBytes
	connectionWindow  = 8 * streamWindow
)

// ErrClosed reports a call on a closed transport.
var ErrClosed = errors.New("peer: transport closed")

// Options sets up a QUIC transport.
type Options struct {
	// Listen is the IP number and port. Port zero takes a free one.
	Listen   netip.AddrPort
	Identity Identity
}

// QUIC is a Transport over QUIC with mutual TLS. It is safe for concurrent use.
type QUIC struct {
	local    netip.AddrPort
	identity Identity
	config   *quic.Config
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	counters Counters

	ctx   context.Context
	close context.CancelFunc
	tasks sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	handlers map[Kind]Handler
	peers    map[netip.AddrPort]*link
}

// Listen opens the transport and starts to answer calls. Close ends it.
func Listen(o Options) (*QUIC, error) {
	key, err := o.Identity.resetKey()
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	q := newQUIC(o.Identity, socket, key)
	q.listener, err = q.quic.Listen(o.Identity.serverTLS(), q.config)
	if err != nil {
		q.close()
		_ = q.quic.Close()
		_ = socket.Close()
		return nil, errors.Wrap(err, "listen")
	}
	q.tasks.Go(q.accept)
	return q, nil
}

func newQUIC(id Identity, socket *net.UDPConn, key *quic.StatelessResetKey) *QUIC {
	ctx, cancel := context.WithCancel(context.Background())
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return &QUIC{
		local:    netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port()),
		identity: id,
		config: &quic.Config{
			HandshakeIdleTimeout:           handshakeTimeout,
			MaxIdleTimeout:                 idleTimeout,
			InitialStreamReceiveWindow:     streamWindow,
			MaxStreamReceiveWindow:         streamWindow,
			InitialConnectionReceiveWindow: connectionWindow,
			MaxConnectionReceiveWindow:     connectionWindow,
			MaxIncomingStreams:             maxStreamsPerPeer,
			MaxIncomingUniStreams:          -1,
		},
		socket:   socket,
		quic:     &quic.Transport{Conn: socket, StatelessResetKey: key},
		ctx:      ctx,
		close:    cancel,
		handlers: make(map[Kind]Handler),
		peers:    make(map[netip.AddrPort]*link),
	}
}

// Local returns the address at which this instance listens.
func (q *QUIC) Local() netip.AddrPort { return q.local }

// Counters returns what the transport carried and refused so far.
func (q *QUIC) Counters() Counts { return q.counters.Read() }

// Handle registers the handler of a kind.
func (q *QUIC) Handle(kind Kind, h Handler) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handlers[kind] = h
}

// Close ends all connections. It returns after every goroutine of the
// transport ended, running handlers included; their contexts end at once.
func (q *QUIC) Close() error {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.close()
	err := q.listener.Close()
	err = errors.Join(err, q.quic.Close(), q.socket.Close())
	q.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// start runs task in a goroutine that Close waits for. It reports false, and
// runs nothing, if the transport is closed.
func (q *QUIC) start(task func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.tasks.Go(task)
	return true
}

// Call returns the answer of the instance at to.
func (q *QUIC) Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error) {
	if len(body) > MaxMessageBytes {
		q.counters.Refused(RefusedTooLarge)
		return nil, ErrTooLarge
	}
	l, err := q.link(to)
	if err != nil {
		return nil, err
	}
	conn, err := l.connection(ctx)
	if err != nil {
		q.countFailure(err)
		return nil, err
	}
	answer, err := q.exchange(ctx, conn, request{kind: kind, from: q.local, body: body})
	l.observe(conn, err)
	q.countFailure(err)
	return answer, err
}

func (q *QUIC) countFailure(err error) {
	switch {
	case err == nil:
	case errors.Is(err, errBackoff):
		q.counters.Refused(RefusedBackoff)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		q.counters.Refused(RefusedTimeout)
	case errors.Is(err, ErrUnreachable):
		q.counters.Refused(RefusedUnreachable)
	}
}

// exchange sends r on a stream of its own and reads the answer.
func (q *QUIC) exchange(ctx context.Context, conn *quic.Conn, r request) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, callError(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	frame := appendRequest(nil, r)
	if _, err := stream.Write(frame); err != nil {
		stream.CancelRead(0)
		return nil, callError(ctx, err)
	}
	_ = stream.Close()
	q.counters.Sent(r.kind, len(frame))
	s, body, err := readAnswer(stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, callError(ctx, err)
	}
	q.counters.Received(r.kind, AnswerHeaderBytes+len(body))
	return body, errorOf(s, body)
}

// callError prefers the reason of the context over what its end caused.
func callError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrVersion) {
		return err
	}
	return errors.Wrap(ErrUnreachable, err.Error())
}
