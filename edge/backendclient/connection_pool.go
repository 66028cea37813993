package backendclient

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// dialTimeout bounds the time to establish a connection. A server that is up
	// accepts a connection within a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// slowDial is how long a connection may take before its path is suspected.
	slowDial = 60 * time.Millisecond
	// Settings of the TCP keepalive probes, which detect a broken connection while the
	// server works on a request.
	keepaliveIdle     = time.Second
	keepaliveInterval = 400 * time.Millisecond
	keepaliveCount    = 3
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// operating system closes the connection. A network partition would not cause an
	// error otherwise. It also decides when the keepalive probes give up, whatever their
	// count. A sound server may be silent for a second or so.
	unackedTimeout = 2500 * time.Millisecond
	// A request that must not be sent twice reuses a connection only if the connection
	// was idle for less than maxIdleAtMostOnce. The longer a connection was idle, the
	// more likely the server closes it just when the request is sent.
	maxIdleAtMostOnce = 4 * time.Second
)

// Server is the backend server that a request is sent to.
type Server struct {
	// Key identifies one run of the server. After a restart the server has another key.
	Key     string
	Address netip.AddrPort
	// MaxConnections bounds this instance's connections to the server.
	MaxConnections int
}

// Client holds an instance's connections to backend servers. It is safe for
// concurrent use.
type Client struct {
	// Counters may be read at any time.
	Counters Counters
	// OnConnected is called when a connection was made, OnSuspect when one takes long or
	// fails. They may be nil, and must be set before use.
	OnConnected, OnSuspect func()

	dial  engineclient.DialFunc
	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one server.
type pool struct {
	open int
	idle []*connection
}

// NewClient returns a client that connects with dial, or over TCP if dial is nil.
func NewClient(dial engineclient.DialFunc) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, pools: make(map[string]*pool)}
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Control: setUnackedTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
	}}
	return d.DialContext(ctx, network, address)
}

// setUnackedTimeout sets unackedTimeout on a new socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return cmp.Or(err, optionErr)
}

// acquire returns an idle connection or opens one. If atMostOnce is set, it does not
// return a connection that was idle for maxIdleAtMostOnce or longer.
func (c *Client) acquire(ctx context.Context, s Server, atMostOnce bool) (*connection, error) {
	if conn := c.takeIdle(s.Key, atMostOnce); conn != nil {
		return conn, nil
	}
	return c.open(ctx, s)
}

// open opens a connection, within the bound of the connections to the server.
func (c *Client) open(ctx context.Context, s Server) (*connection, error) {
	if !c.reserveConnection(s) {
		return nil, &engineclient.SendError{Reason: outcome.ServerRefused, NotStarted: true, Err: errors.New("all connections to the server are in use")}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := c.watchedDial(ctx, s)
	if err != nil {
		c.releaseConnection(s.Key)
		return nil, &engineclient.SendError{Reason: outcome.ServerUnreachable, NotStarted: true, Err: err}
	}
	c.Counters.Connected.Add(1)
	return newConnection(netConn), nil
}

// watchedDial opens a connection and tells what that shows of the path.
func (c *Client) watchedDial(ctx context.Context, s Server) (net.Conn, error) {
	suspect := func() {
		if c.OnSuspect != nil {
			c.OnSuspect()
		}
	}
	slow := time.AfterFunc(slowDial, suspect)
	defer slow.Stop()
	conn, err := c.dial(ctx, "tcp", s.Address.String())
	switch {
	case err == nil && c.OnConnected != nil:
		c.OnConnected()
	case err != nil && !errors.Is(ctx.Err(), context.Canceled):
		suspect()
	}
	return conn, err
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
// It closes the unusable connections that it finds before this one.
func (c *Client) takeIdle(key string, atMostOnce bool) *connection {
	for {
		conn := c.popIdle(key)
		if conn == nil {
			return nil
		}
		idleTime := time.Since(conn.idleSince)
		if idleTime < conn.idleTimeout && conn.isOpenAndEmpty() && (!atMostOnce || idleTime < maxIdleAtMostOnce) {
			conn.reused = true
			return conn
		}
		c.closeConnection(key, conn)
	}
}

// popIdle removes and returns the most recently used idle connection, or returns nil.
func (c *Client) popIdle(key string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

// reserveConnection counts a connection that is about to be opened. It returns false
// if there are already s.MaxConnections to the server.
func (c *Client) reserveConnection(s Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[s.Key]
	if p == nil {
		p = &pool{}
		c.pools[s.Key] = p
	}
	if p.open >= s.MaxConnections {
		return false
	}
	p.open++
	return true
}

// releaseConnection removes a connection from the number of open ones.
func (c *Client) releaseConnection(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	p.open--
	if p.open == 0 {
		delete(c.pools, key)
	}
}

func (c *Client) closeConnection(key string, conn *connection) {
	// The connection is no longer used, even if closing it fails.
	_ = conn.net.Close()
	c.releaseConnection(key)
}

// putIdle makes a connection available again after its response was read to the end.
func (c *Client) putIdle(key string, conn *connection) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	p.idle = append(p.idle, conn)
}

// CloseIdle closes the connections that have been idle for longer than their idle
// timeout, and all idle connections to servers for which keep returns false.
func (c *Client) CloseIdle(keep func(key string) bool) {
	now := time.Now()
	for key, conns := range c.removeExpired(keep, now) {
		for _, conn := range conns {
			c.closeConnection(key, conn)
		}
	}
}

// removeExpired removes the connections that CloseIdle has to close from the pools, and
// returns them by the key of their server.
func (c *Client) removeExpired(keep func(key string) bool, now time.Time) map[string][]*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := make(map[string][]*connection)
	for key, p := range c.pools {
		keepServer := keep(key)
		var remaining []*connection
		for _, conn := range p.idle {
			if keepServer && now.Sub(conn.idleSince) < conn.idleTimeout {
				remaining = append(remaining, conn)
			} else {
				expired[key] = append(expired[key], conn)
			}
		}
		p.idle = remaining
	}
	return expired
}
