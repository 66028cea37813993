// Package pipenet is an in-memory network. HTTP servers and clients on it can
// run under testing/synctest, which does not support real sockets.
package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// ErrRefused reports a dial to an address without a listener.
var ErrRefused = errors.New("pipenet: connection refused")

// Network connects dialers to listeners by address. The zero value is an empty
// network. A Network is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener at the address. If the address already has a
// listener, the new one replaces it.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext connects to the listener at the address. If the address has no
// listener, DialContext returns ErrRefused.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, ErrRefused
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.incoming <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve starts an HTTP server at the address. The returned function closes the
// server and its connections.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler}
	l := n.Listen(address)
	go server.Serve(l)
	return func() { server.Close() }
}

// Transport returns an HTTP transport that uses the network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.DialContext, DisableCompression: true}
}

// listener accepts the connections to one address.
type listener struct {
	network   *Network
	address   string
	incoming  chan net.Conn // server sides of connections that are not accepted yet
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for a connection and returns its server side. After Close, Accept
// returns net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close removes the listener from the network. Later dials to its address are
// refused.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
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
func (l *listener) Addr() net.Addr { return pipeAddr(l.address) }

// pipeAddr is the address of a listener as a net.Addr.
type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
