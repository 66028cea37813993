package backendclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/engineclient/clienttest"
)

// TestEndlessHeaderEndsTheAttempt guards against a server that sends bytes without end
// where the header is due, which would fill the instance's memory.
func TestEndlessHeaderEndsTheAttempt(t *testing.T) {
	for name, parts := range map[string][2]string{
		"one line":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "aaaaaaaaaaaaaaaa"},
		"many lines":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-More: aaaaaaaa\r\n"},
		"no response": {"", "aaaaaaaaaaaaaaaa"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				readRequest(r)
				chunk := []byte(parts[0])
				for {
					n, err := c.Write(chunk)
					sent.Add(int64(n))
					if err != nil {
						return
					}
					chunk = []byte(strings.Repeat(parts[1], 4096))
				}
			})
			startTime := time.Now()
			_, err := NewClient(nil).Send(context.Background(), s.server(), newRequest("1"))
			var sendError *engineclient.SendError
			if !errors.As(err, &sendError) || sendError.NotStarted {
				t.Errorf("got error %v, want a send error that does not say that the request was not started", err)
			}
			// The sockets' buffers hold several megabytes.
			const maxDuration, maxSent = 2 * time.Second, 32 << 20
			if elapsed := time.Since(startTime); elapsed > maxDuration || sent.Load() > maxSent {
				t.Errorf("the attempt took %v and %d bytes, want at most %v and %d bytes", elapsed, sent.Load(), maxDuration, maxSent)
			}
		})
	}
}

// TestManySmallHeaderFieldsFitIntoMemory guards against servers that send a header of many small
// fields, a few bytes at a time on all connections that an instance may have: each field takes far
// more memory than it has bytes.
func TestManySmallHeaderFieldsFitIntoMemory(t *testing.T) {
	// connections is the max_conns of an engine at the users' sites. All are one instance's if it
	// is the only one that runs.
	const connections = 360
	server := Server{Key: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), MaxConnections: connections}
	clienttest.EndlessHeader{
		Connections: connections, Fields: maxHeaderBytes / 8, MaxBytes: 48 << 20,
		Client: func(dial clienttest.DialFunc) func(int) {
			client := NewClient(dial)
			return func(n int) {
				request := newRequest(fmt.Sprint(n))
				request.HeaderDeadline = time.Now().Add(time.Minute)
				if response, err := client.Send(context.Background(), server, request); err == nil {
					response.Close()
				}
			}
		},
	}.Check(t)
}
