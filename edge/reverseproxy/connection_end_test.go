package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// addEndingServer adds a server to the fixture that answers each request with a header
// that states neither a length nor chunks, and with the given body. Then it closes the
// connection, or resets it.
func (f *fixture) addEndingServer(id, contentType, body string, reset bool) {
	f.t.Helper()
	server := rawserver.Start(f.t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		answerAndEnd(c, rawserver.ReadRequest(r), id, contentType, body, reset)
	})
	s := platformtest.BackendServer{ID: id, Service: "s", Address: server.Address.String()}
	f.putRecord(catalog.KindServer, id, s.Entry("ready"))
}

func answerAndEnd(c *net.TCPConn, request http.Header, id, contentType, body string, reset bool) {
	if request == nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\nContent-Type: %s\r\n\r\n%s",
		platform.HeaderRequestID, request.Get(platform.HeaderRequestID), platform.HeaderServerStamp, id, contentType, body)
	if reset {
		// Let the bytes arrive, since the reset would discard them otherwise.
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}
}

// TestEndOfWholeResponseWithoutLength guards against taking a reset for the end of a
// response, and a regular end for a failure.
func TestEndOfWholeResponseWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		reset bool
		want  int
	}{"closed": {false, 200}, "reset": {true, 502}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addEndingServer("i-0", "text/plain", "the whole body", c.reset)
			got := f.do(f.request(pathUnsafe))
			f.expectStatus(got, c.want)
			if c.want == 200 && got.body != "the whole body" {
				t.Errorf("got the body %q, want the whole body", got.body)
			}
		})
	}
}

// TestEndOfStreamWithoutLength guards against taking a stream that ends inside an event, or
// with a reset, for complete, and one that ends between two events for broken off.
func TestEndOfStreamWithoutLength(t *testing.T) {
	const lf, crlf = "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n"
	for name, c := range map[string]struct {
		body     string
		reset    bool
		relayed  string
		complete bool
	}{
		"after an event":             {lf, false, lf, true},
		"after an event, CRLF":       {crlf, false, crlf, true},
		"reset after an event":       {lf, true, lf, false},
		"reset after an event, CRLF": {crlf, true, crlf, false},
		"inside a line":              {lf + "id: 2\nda", false, lf, false},
		"inside a line, CRLF":        {crlf + "id: 2\r\nda", false, crlf, false},
		"after a line":               {lf + "id: 2\ndata: b\n", false, lf, false},
		"after a line, CRLF":         {crlf + "id: 2\r\ndata: b\r\n", false, crlf, false},
		"inside the last line end":   {crlf + "id: 2\r\ndata: b\r\n\r", false, crlf, false},
		"inside the first event":     {"id: 1\nda", false, "", false},
		"without an event":           {"", false, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addEndingServer("i-0", "text/event-stream", c.body, c.reset)
			got := f.do(f.request(pathStream))
			if c.relayed == "" {
				f.expectStatus(got, 502)
				return
			}
			if complete := got.err == nil; complete != c.complete || got.body != c.relayed {
				t.Errorf("got the body %q, complete %v; want %q, complete %v", got.body, complete, c.relayed, c.complete)
			}
		})
	}
}

// TestStreamWithoutLengthResumes guards against a stream that ends inside an event and is
// not resumed, or passes the half event on.
func TestStreamWithoutLengthResumes(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CRLF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Events: 3})
			half := strings.ReplaceAll("id: 1\ndata: i-0-1\n\nid: 2\ndata: i-0-2\n", "\n", end)
			// Takes the place of the fixture's server of that name.
			f.addEndingServer("i-0", "text/event-stream", half, false)
			whole := streamBody("i-1", "i-1", "i-1")
			resumed := strings.ReplaceAll("id: 1\ndata: i-0-1\n\n", "\n", end) + strings.TrimPrefix(whole, streamBody("i-1"))
			seen := false
			for range 8 {
				got := f.do(f.request(pathResumable))
				f.expectStatus(got, 200)
				if got.body != whole && got.body != resumed {
					t.Errorf("got the body %q, want %q or %q", got.body, whole, resumed)
				}
				seen = seen || got.body == resumed
			}
			if !seen {
				t.Error("none of the 8 streams was resumed, want at least one")
			}
		})
	}
}

// TestRefusalOnKeptConnectionReachesCaller guards against a refusal that is lost because
// the write deadline of the connection's previous request has passed.
func TestRefusalOnKeptConnectionReachesCaller(t *testing.T) {
	f := newFixture(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	const deadline = 100 * time.Millisecond
	send := func(path string, want int) {
		t.Helper()
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: request%s\r\n%s: key\r\n%s: %d\r\n\r\n", path,
			platform.HeaderRequestID, path, platform.HeaderAPIKey, platform.HeaderDeadline, deadline.Milliseconds())
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: no response: %v", path, err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != want {
			t.Errorf("%s: got status %d, error %v; want status %d and a whole body", path, resp.StatusCode, err, want)
		}
	}
	send(pathSafe, 200)
	time.Sleep(deadline + writeGrace + 200*time.Millisecond)
	send("/nowhere/", 404)
	send(pathSafe, 200)
}
