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
	conn, err := c.open(ctx, s)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	// The connection is new, so a request may use it.
	conn.idleTimeout = defaultIdleTimeout
	c.putIdle(s.Key, conn)
	return true, true
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
