package demo

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errCut reports a dial after the cut.
var errCut = errors.New("demo: the instance was killed")

// dialer makes the outgoing connections of one instance and can break all of
// them at once, as the end of a process does. It is safe for concurrent use.
type dialer struct {
	mu   sync.Mutex
	cut  bool
	open map[net.Conn]struct{}
}

func newDialer() *dialer { return &dialer{open: make(map[net.Conn]struct{})} }

// dial connects over TCP.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var tcp net.Dialer
	conn, err := tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut {
		_ = conn.Close()
		return nil, errCut
	}
	tracked := &trackedConn{Conn: conn, owner: d}
	d.open[tracked] = struct{}{}
	return tracked, nil
}

// close breaks all connections and fails further dials.
func (d *dialer) close() {
	d.mu.Lock()
	d.cut = true
	var conns []net.Conn
	for c := range d.open {
		conns = append(conns, c)
	}
	d.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// trackedConn is a connection that its dialer can break.
type trackedConn struct {
	net.Conn
	owner *dialer
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
