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
	idleTimeout       = 30 * time.Second                     // after which an unused connection is closed
	handshakeTimeout  = 2 * time.Second                      // for an attempt to connect
	requestTimeout    = 5 * time.Second                      // for reading a request, and again for writing its response
	maxStreamsPerPeer = 1024                                 // calls from one peer at the same time
	streamWindow      = MaxMessageBytes + RequestHeaderBytes // receive window of one call, in bytes
	connectionWindow  = 8 * streamWindow                     // receive window of all calls of one peer, in bytes
)

// ErrClosed reports a call on a closed transport.
var ErrClosed = errors.New("peer: transport closed")

// Options configures a QUIC transport.
type Options struct {
	// Listen is the IP address and port to listen on. Port zero takes a free
	// port.
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

	ctx   context.Context    // ends when the transport is closed
	close context.CancelFunc // cancels ctx
	tasks sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	handlers map[Kind]Handler
	conns    map[netip.AddrPort]*peerConn
}

// Listen opens the transport and begins to serve calls. Close ends it.
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
	localAddress := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return &QUIC{
		local:    netip.AddrPortFrom(localAddress.Addr().Unmap(), localAddress.Port()),
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
		conns:    make(map[netip.AddrPort]*peerConn),
	}
}

// Local returns the address at which this instance listens.
func (q *QUIC) Local() netip.AddrPort { return q.local }

// Counters returns what the transport has sent, received and refused so far.
func (q *QUIC) Counters() Counts { return q.counters.Read() }

// Handle registers the handler of a kind.
func (q *QUIC) Handle(kind Kind, h Handler) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handlers[kind] = h
}

// Close ends all connections and cancels the contexts of running handlers. It
// returns after every goroutine of the transport has ended, handlers included.
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

// startTask runs task in a goroutine that Close waits for. If the transport is
// closed, it runs nothing and returns false.
func (q *QUIC) startTask(task func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.tasks.Go(task)
	return true
}

// Call sends a message to the instance that listens at the address to, and
// returns its response.
func (q *QUIC) Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error) {
	if len(body) > MaxMessageBytes {
		q.counters.Refused(RefusedTooLarge)
		return nil, ErrTooLarge
	}
	pc, err := q.peerConn(to)
	if err != nil {
		return nil, err
	}
	conn, err := pc.connect(ctx)
	if err != nil {
		q.countFailure(err)
		return nil, err
	}
	response, err := q.roundTrip(ctx, conn, request{kind: kind, from: q.local, body: body})
	pc.recordResult(conn, err)
	q.countFailure(err)
	return response, err
}

// countFailure counts a failed call if the failure was detected here, at the
// caller. A failure that the response reports has been counted by the peer.
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

// roundTrip sends r on a new stream and reads the response.
func (q *QUIC) roundTrip(ctx context.Context, conn *quic.Conn, r request) ([]byte, error) {
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
	s, body, err := readResponse(stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, callError(ctx, err)
	}
	q.counters.Received(r.kind, ResponseHeaderBytes+len(body))
	return body, errorForStatus(s, body)
}

// callError returns the error of a call that failed with err. If ctx has ended,
// that is the error of ctx, since err is then only a consequence. Otherwise
// ErrTooLarge and ErrVersion are returned as they are, and any other error
// becomes ErrUnreachable.
func callError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrVersion) {
		return err
	}
	return errors.Wrap(ErrUnreachable, err.Error())
}
