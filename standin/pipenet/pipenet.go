// Package pipenet is a network in memory. HTTP servers and clients on it run
// under testing/synctest, which real sockets do not.
package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// ErrRefused reports a dial to an address at which nothing listens.
var ErrRefused = errors.New("pipenet: connection refused")

// Network connects listeners and dialers by address. The zero value is ready.
// It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener at the address. A former one there is replaced.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, address: address, accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext connects to the address. It fails with ErrRefused if nothing
// listens there.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	select {
	case l.accepts <- far:
		return near, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve starts an HTTP server at the address. The returned function closes it
// and its connections.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler}
	l := n.Listen(address)
	go server.Serve(l)
	return func() { server.Close() }
}

// Transport returns an HTTP transport over the network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.DialContext, DisableCompression: true}
}

// listener accepts the connections to one address.
type listener struct {
	network *Network
	address string
	accepts chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepts:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes the address refuse connections.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "pipe" }
func (a addr) String() string { return string(a) }
