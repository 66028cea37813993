package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/scheduler"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// answerFrom has a server of the fixture's configuration write the given bytes in response to each
// request and close the connection.
func (f *fixture) answerFrom(t *testing.T, name, reply string) {
	t.Helper()
	server := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		if rawserver.ReadRequest(r) != nil {
			_, _ = io.WriteString(c, reply)
		}
	})
	entry := f.snapshot.BackendServers[name]
	entry.Spec.Address = server.Address.String()
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

// TestAnswerCutInItsHeadIsNoAnswer guards against a 200 with an empty or short body, framed as whole, that a
// caller gets from a server which stopped at any byte of its answer's head, or in its body, and closed.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	for name, r := range map[string]struct{ server, path, body string }{
		"service":      {"service", "/v1/services/stamp/issue", "{}"},
		"stream":       {"engine-a", "/v1/chat/completions", chatBody("once", true, 20)},
		"whole answer": {"engine-a", "/v1/chat/completions", chatBody("once", false, 20)},
	} {
		t.Run(name, func(t *testing.T) {
			for end := 0; end < len(whole)-1; end += 3 {
				f := newFixture(t, 1)
				f.answerFrom(t, r.server, whole[:end])
				s := newScriptedScheduler(grant(r.server, 1))
				s.onFailure = func(s *scriptedScheduler) { s.decisions <- scheduler.Decision{Kind: scheduler.Refused} }
				f.proxy.Scheduler = s
				if resp, body := f.post(t, r.path, r.body, nil); resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderRun) != "unknown" {
					t.Errorf("cut after %q the caller got status %d, header %v, body %q; want 502", whole[:end], resp.StatusCode, resp.Header, body)
				}
			}
		})
	}
}

// TestErrorOfNextServerStaysOutOfStream guards against a stream that broke off and in whose middle a caller
// finds the next server's error, or its head, and against one that then ends as if it were complete.
func TestErrorOfNextServerStaysOutOfStream(t *testing.T) {
	for name, reply := range map[string]string{
		"error":               "HTTP/1.1 500 No\r\nContent-Length: 7\r\n\r\nno room",
		"bad request":         "HTTP/1.1 400 No\r\nContent-Length: 7\r\n\r\nno room",
		"not started":         "HTTP/1.1 503 No\r\nNot-Started: true\r\nContent-Length: 7\r\n\r\nno room",
		"no status":           "HTTP/1.1 000 No\r\nContent-Length: 7\r\n\r\nno room",
		"error under 200":     "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\ndata: no room\n\n",
		"error event":         "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\ndata: {\"error\": \"no room\"}\n\n",
		"empty":               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"head in the middle":  "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 No\r\n\r\nno room",
		"text and no answer":  "no room\n\n",
		"head that is cut":    "HTTP/1.1 200 OK\r\nContent-Le",
		"end without a frame": "HTTP/1.1 200 OK\r\n\r\ndata: ",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.engines[0].SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
			f.answerFrom(t, "engine-b", reply)
			s := newScriptedScheduler(grant("engine-a", 1))
			s.onFailure = func(s *scriptedScheduler) {
				if len(s.failures) == 1 {
					s.decisions <- grant("engine-b", 2)
					return
				}
				s.decisions <- scheduler.Decision{Kind: scheduler.Refused}
			}
			f.proxy.Scheduler = s
			_, body := f.post(t, "/v1/chat/completions", chatBody("loom", true, 20), nil)
			if strings.Contains(body, "no room") || strings.Contains(body, "HTTP/1.1") || strings.Contains(body, "[DONE]") || !strings.Contains(body, `"run":"unknown"`) {
				t.Errorf("the caller got %q, want nothing of the second server, no regular end, and that the request may have run", body)
			}
		})
	}
}
