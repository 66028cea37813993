package engineclient

import (
	"context"
	"net"
)

// DialFunc connects to a server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}
