package backendclient

import (
	"context"
	"syscall"

	"github.com/go-faster/errors"
)

// Listens reports whether a server accepts connections. known is false if this can't be
// told: if this instance has all its connections to the server in use, or if the attempt
// to connect ended otherwise than with a refusal, as it does on a broken network.
func (c *Client) Listens(ctx context.Context, s Server) (listening, known bool) {
	if c.hasOpenIdle(s.Key) {
		return true, true
	}
	if err := c.connect(ctx, s); err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	return true, true
}

// Connects reports whether a server accepts a new connection.
func (c *Client) Connects(ctx context.Context, s Server) bool { return c.connect(ctx, s) == nil }

// connect opens a connection to a server, and keeps it for a request.
func (c *Client) connect(ctx context.Context, s Server) error {
	conn, err := c.open(ctx, s)
	if err != nil {
		return err
	}
	conn.idleTimeout = defaultIdleTimeout
	c.putIdle(s.Key, conn)
	return nil
}

// hasOpenIdle reports whether an idle connection to the server is open.
func (c *Client) hasOpenIdle(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		return false
	}
	for _, conn := range p.idle {
		if conn.isOpenAndEmpty() {
			return true
		}
	}
	return false
}
