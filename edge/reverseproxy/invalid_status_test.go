package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/platform"
)

// replyWith accepts connections at a server's address in place of that server, and writes the
// given bytes in response to each request.
func replyWith(t *testing.T, address, reply string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = conn.Write([]byte(strings.ReplaceAll(reply, "ID", req.Header.Get(platform.HeaderRequestID))))
			}()
		}
	}()
}

// TestStatusThatIsNoHTTPStatusGetsAnAnswer guards against a request that ends without an answer because its server sends a
// status below 100, with which net/http's WriteHeader panics.
func TestStatusThatIsNoHTTPStatusGetsAnAnswer(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Close()
	replyWith(t, f.servers[0].Address, fmt.Sprintf("HTTP/1.1 099 No\r\n%s: ID\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID))
	got := f.do(f.request(pathUnsafe))
	f.expectStatus(got, http.StatusBadGateway)
}
