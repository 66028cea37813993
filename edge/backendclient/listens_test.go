package backendclient

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestOnlyRefusedConnectionMeansThatServerEnded guards against servers that count as ended
// because the network is broken or all connections are in use.
func TestOnlyRefusedConnectionMeansThatServerEnded(t *testing.T) {
	up := startServer(t, func(_ int, _ *net.TCPConn, r *bufio.Reader) { readRequest(r) })
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endedAddress := closed.Addr().(*net.TCPAddr).AddrPort()
	_ = closed.Close()
	silent := NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	for _, c := range []struct {
		label            string
		client           *Client
		address          netip.AddrPort
		maxConnections   int
		listening, known bool
	}{
		{"up", NewClient(nil), up.server().Address, 4, true, true},
		{"ended", NewClient(nil), endedAddress, 4, false, true},
		{"silent", silent, up.server().Address, 4, false, false},
		{"all connections in use", NewClient(nil), endedAddress, 0, false, false},
	} {
		listening, known := c.client.Listens(context.Background(), Server{Key: "s", Address: c.address, MaxConnections: c.maxConnections})
		if listening != c.listening || known != c.known {
			t.Errorf("%s: got listening %v, known %v; want %v, %v", c.label, listening, known, c.listening, c.known)
		}
	}
}

// TestConnectionOfCheckIsUsed guards against new connections that only a check uses.
func TestConnectionOfCheckIsUsed(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		for {
			id := readRequest(r)
			if id == "" {
				return
			}
			_, _ = c.Write([]byte(responseText(id, "x")))
		}
	})
	client := NewClient(nil)
	check := func() {
		t.Helper()
		if listening, known := client.Listens(context.Background(), s.server()); !listening || !known {
			t.Fatalf("got listening %v, known %v; want both", listening, known)
		}
	}
	for range 3 {
		check()
	}
	time.Sleep(defaultIdleTimeout)
	client.CloseIdle(func(string) bool { return true })
	if open := client.pools["s"]; open != nil {
		t.Errorf("%d connections stay open, want none", open.open)
	}
	check()
	fetch(t, client, s.server(), "a")
	if got := s.Accepted(); got != 2 {
		t.Errorf("%d connections for three checks, and for one more with a request, want two", got)
	}
}
