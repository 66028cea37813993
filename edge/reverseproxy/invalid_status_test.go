package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// replyWith has a server that writes the given bytes in response to each request take the place of
// the server with the given index.
func (f *fixture) replyWith(server int, reply string) {
	f.t.Helper()
	s := f.servers[server]
	s.Close()
	entry := platformtest.BackendServer{ID: s.ID, Service: s.Service, Address: startReplies(f.t, reply)}
	f.putRecord(catalog.KindServer, s.ID, entry.Entry("ready"))
}

// handOnTo has an instance that writes the given bytes in response to each request get what the
// fixture's instance hands on.
func (f *fixture) handOnTo(reply string) {
	f.t.Helper()
	f.cutOff()
	address := netip.MustParseAddrPort(startReplies(f.t, reply))
	f.handler.PeerRelay.Relays = func() []gossip.Relay { return []gossip.Relay{{Name: "peer", Callers: address}} }
}

// startReplies starts a server that writes the given bytes in response to each request, and returns
// its address.
func startReplies(t testing.TB, reply string) string {
	t.Helper()
	server := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		if header := rawserver.ReadRequest(r); header != nil {
			_, _ = io.WriteString(c, strings.ReplaceAll(reply, "ID", header.Get(platform.HeaderRequestID)))
		}
	})
	return server.Address.String()
}

// TestStatusThatIsNoHTTPStatusGetsAnAnswer guards against a status such as 000 that a caller gets as an answer,
// and against a request that ends without an answer, because net/http's WriteHeader panics with it.
func TestStatusThatIsNoHTTPStatusGetsAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "0", "00", "-1", "1000", "abc", ""} {
		for _, path := range []string{pathUnsafe, pathSafe, pathStream, pathResumable} {
			t.Run(status+path, func(t *testing.T) {
				f := newFixture(t, 1)
				f.replyWith(0, fmt.Sprintf("HTTP/1.1 %s No\r\n%s: ID\r\n%s: stamp\r\nContent-Length: 6\r\n\r\nanswer",
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
	cut := newFixture(t, 1)
	cut.handOnTo(fmt.Sprintf("HTTP/1.1 000 No\r\n%s: ID\r\n%s: stamp\r\nContent-Length: 6\r\n\r\nanswer",
		platform.HeaderRequestID, platform.HeaderServerStamp))
	got := cut.do(cut.request(pathSafe))
	cut.expectStatus(got, http.StatusBadGateway)
}
