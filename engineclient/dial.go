package engineclient

import (
	"context"
	"net"
)

// DialFunc opens a connection to a server. The arguments are those of
// net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTCP connects over TCP with dialTimeout.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}
