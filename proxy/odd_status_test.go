package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/scheduler"
)

// answerFrom has a server of the fixture's configuration write the given bytes in response to each
// request and close the connection.
func (f *fixture) answerFrom(t *testing.T, name, reply string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, reply)
			}
			_ = conn.Close()
		}
	}()
	entry := f.snapshot.BackendServers[name]
	entry.Spec.Address = l.Addr().String()
	f.snapshot.BackendServers[name] = entry
}

// TestStatusThatIsNoHTTPStatusIsNoAnswer guards against a status such as 000 that a caller gets as an
// answer, and against a request that ends without an answer, because net/http's WriteHeader panics with it.
func TestStatusThatIsNoHTTPStatusIsNoAnswer(t *testing.T) {
	several := strings.Replace(chatBody("once", false, 20), "{", `{"n":2,`, 1)
	requests := map[string]struct{ path, body string }{
		"service":         {"/v1/services/stamp/issue", "{}"},
		"stream":          {"/v1/chat/completions", chatBody("once", true, 20)},
		"whole answer":    {"/v1/chat/completions", chatBody("once", false, 20)},
		"several answers": {"/v1/chat/completions", several},
	}
	for _, status := range []string{"000", "001", "099", "101", "0", "1000"} {
		for name, r := range requests {
			t.Run(name+" "+status, func(t *testing.T) {
				f := newFixture(t, 1)
				reply := fmt.Sprintf("HTTP/1.1 %s No\r\nContent-Length: 6\r\n\r\nanswer", status)
				f.answerFrom(t, "engine-a", reply)
				f.answerFrom(t, "service", reply)
				server := "engine-a"
				if name == "service" {
					server = "service"
				}
				s := newScriptedScheduler(grant(server, 1))
				s.onFailure = func(s *scriptedScheduler) { s.decisions <- scheduler.Decision{Kind: scheduler.Refused} }
				f.proxy.Scheduler = s
				resp, body := f.post(t, r.path, r.body, nil)
				if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderRun) != "unknown" || strings.Contains(body, "answer") {
					t.Errorf("got status %d, header %v, body %q; want 502, and that the request may have run", resp.StatusCode, resp.Header, body)
				}
			})
		}
	}
}
