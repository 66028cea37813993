package demo

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errInstanceKilled is returned by dial after close.
var errInstanceKilled = errors.New("demo: the instance was killed")

// dialer opens the outgoing connections of one instance. It can close all of
// them at once, as the operating system does when a process ends. It is safe
// for concurrent use.
type dialer struct {
	mu        sync.Mutex
	closed    bool
	openConns map[net.Conn]struct{}
}

func newDialer() *dialer { return &dialer{openConns: make(map[net.Conn]struct{})} }

// dial opens a connection and adds it to openConns.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var tcp net.Dialer
	conn, err := tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = conn.Close()
		return nil, errInstanceKilled
	}
	tracked := &trackedConn{Conn: conn, dialer: d}
	d.openConns[tracked] = struct{}{}
	return tracked, nil
}

// close closes all connections and makes further dials fail.
func (d *dialer) close() {
	d.mu.Lock()
	d.closed = true
	var conns []net.Conn
	for c := range d.openConns {
		conns = append(conns, c)
	}
	d.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// trackedConn is a connection that its dialer can close.
type trackedConn struct {
	net.Conn
	dialer *dialer
}

// Close closes the connection and removes it from its dialer.
func (c *trackedConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.openConns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}
