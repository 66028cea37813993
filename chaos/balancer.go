package chaos

import (
	"context"
	"net"
	"net/http"
	"slices"
)

// balanced returns a transport that stands for the platform's balancer: where
// one instance takes no connection, it connects to another one. It keeps no
// connection for a second request, which a leaving instance might be closing.
func balanced(addresses []string) http.RoundTripper {
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
