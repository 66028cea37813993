package chaos

import (
	"context"
	"net"
	"net/http"
	"slices"
)

// newFailoverTransport returns a transport that acts as the platform's load
// balancer: if a connection to an instance fails, it tries the next address.
// Each request opens a connection of its own, because a leaving instance may
// close an idle connection at the moment at which a request reuses it.
func newFailoverTransport(addresses []string) http.RoundTripper {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		start := slices.Index(addresses, address)
		for offset := 1; err != nil && ctx.Err() == nil && offset < len(addresses); offset++ {
			next := addresses[(start+offset)%len(addresses)]
			conn, err = dialer.DialContext(ctx, network, next)
		}
		return conn, err
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
}
