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
	"bergamotpin.example/bergamotpin/platform/platformtest"
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

// TestStatusThatIsNoHTTPStatusGetsAnAnswer guards against a status such as 000 that a caller gets as an answer,
// and against a request that ends without an answer, because net/http's WriteHeader panics with it.
func TestStatusThatIsNoHTTPStatusGetsAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "0", "00", "-1", "1000", "abc", ""} {
		for _, path := range []string{pathUnsafe, pathSafe, pathStream, pathResumable} {
			t.Run(status+path, func(t *testing.T) {
				f := newFixture(t, 1)
				f.servers[0].Close()
				replyWith(t, f.servers[0].Address, fmt.Sprintf("HTTP/1.1 %s No\r\n%s: ID\r\n%s: stamp\r\nContent-Length: 6\r\n\r\nanswer",
					status, platform.HeaderRequestID, platform.HeaderServerStamp))
				got := f.do(f.request(path))
				f.expectStatus(got, http.StatusBadGateway)
				if strings.Contains(got.body, "answer") || got.header.Get(platform.HeaderServerStamp) != "" {
					t.Errorf("the caller got %+v, want nothing of the server's response", got)
				}
			})
		}
	}
}

// TestStatusOfHandedOnRequestIsNoAnswer guards against the same on the way over another instance.
func TestStatusOfHandedOnRequestIsNoAnswer(t *testing.T) {
	cut, peer := newRelayPair(t, platformtest.Behaviour{})
	peer.callers.Close()
	replyWith(t, strings.TrimPrefix(peer.url, "http://"), fmt.Sprintf("HTTP/1.1 000 No\r\n%s: ID\r\n%s: stamp\r\nContent-Length: 6\r\n\r\nanswer",
		platform.HeaderRequestID, platform.HeaderServerStamp))
	got := cut.do(cut.request(pathSafe))
	cut.expectStatus(got, http.StatusBadGateway)
}
