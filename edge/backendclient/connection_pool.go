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
	// dialTimeout bounds the time until a connection stands. A server that is
	// up answers in a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// Probes find a connection that went silent while a server works.
	probeIdle     = time.Second
	probeInterval = 400 * time.Millisecond
	probeCount    = 3
	// unackedTimeout is for how long sent bytes may stay without a confirmation
	// before the connection is given up: a link that is cut says nothing.
	unackedTimeout = time.Second
	// freshIdle is how long a connection may have been unused for a request
	// that may not be sent twice: the longer it was, the likelier its server
	// closes it at that moment.
	freshIdle = 4 * time.Second
)

// Server says where a request goes.
type Server struct {
	// Key names one start of a server.
	Key     string
	Address netip.AddrPort
	// MaxConnections bounds this instance's connections to it.
	MaxConnections int
}

// Client keeps the connections of an instance. It is safe for concurrent use.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	dial  engineclient.DialFunc
	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one server.
type pool struct {
	open int
	idle []*connection
}

// NewClient returns a client that uses dial to connect, or TCP if it is nil.
func NewClient(dial engineclient.DialFunc) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, pools: make(map[string]*pool)}
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Control: limitUnacked, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return d.DialContext(ctx, network, address)
}

// limitUnacked sets unackedTimeout on a new socket.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return cmp.Or(err, failed)
}

// take returns a kept connection or makes one. A request that may run once
// only takes no connection that was unused for long.
func (c *Client) take(ctx context.Context, s Server, once bool) (*connection, error) {
	if kept := c.takeKept(s.Key, once); kept != nil {
		return kept, nil
	}
	if !c.reserve(s) {
		return nil, &engineclient.SendError{Reason: outcome.ServerRefused, NotStarted: true, Err: errors.New("all connections to the server are in use")}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", s.Address.String())
	if err != nil {
		c.release(s.Key)
		return nil, &engineclient.SendError{Reason: outcome.ServerUnreachable, NotStarted: true, Err: err}
	}
	c.Counters.Connected.Add(1)
	return newConnection(raw), nil
}

// takeKept returns the kept connection that was used last and still stands.
func (c *Client) takeKept(key string, once bool) *connection {
	for {
		kept := c.popIdle(key)
		if kept == nil {
			return nil
		}
		unused := time.Since(kept.idleSince)
		if unused < kept.keep && kept.quiet() && (!once || unused < freshIdle) {
			kept.used = true
			return kept
		}
		c.drop(key, kept)
	}
}

func (c *Client) popIdle(key string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	kept := p.idle[last]
	p.idle = p.idle[:last]
	return kept
}

// reserve counts a connection to be made, if there may be one more.
func (c *Client) reserve(s Server) bool {
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

// release counts a connection less.
func (c *Client) release(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	p.open--
	if p.open == 0 {
		delete(c.pools, key)
	}
}

func (c *Client) drop(key string, conn *connection) {
	// The connection is given up either way.
	_ = conn.net.Close()
	c.release(key)
}

// keep makes a connection whose answer was read whole available again.
func (c *Client) keep(key string, conn *connection) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	p.idle = append(p.idle, conn)
}

// CloseIdle closes the connections that were unused for too long, and those
// to servers that keep does not name.
func (c *Client) CloseIdle(keep func(key string) bool) {
	now := time.Now()
	for key, conns := range c.takeExpired(keep, now) {
		for _, conn := range conns {
			c.drop(key, conn)
		}
	}
}

func (c *Client) takeExpired(keep func(key string) bool, now time.Time) map[string][]*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := make(map[string][]*connection)
	for key, p := range c.pools {
		wanted := keep(key)
		var kept []*connection
		for _, conn := range p.idle {
			if wanted && now.Sub(conn.idleSince) < conn.keep {
				kept = append(kept, conn)
			} else {
				expired[key] = append(expired[key], conn)
			}
		}
		p.idle = kept
	}
	return expired
}
