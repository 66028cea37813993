package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// slowFixture is an http.Server with a Tracker. Its handler answers /slow after delay, with
// 503 if the request's context ended before, and other paths at once.
type slowFixture struct {
	tracker *Tracker
	conn    net.Conn
	reader  *bufio.Reader
	begun   chan struct{}
}

const (
	fastRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	slowRequest = "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"
)

func newSlowFixture(t *testing.T, delay, headerTimeout time.Duration) *slowFixture {
	t.Helper()
	f := &slowFixture{tracker: New(), begun: make(chan struct{}, 1)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/slow" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		f.begun <- struct{}{}
		select {
		case <-time.After(delay):
			w.WriteHeader(http.StatusNoContent)
		case <-r.Context().Done():
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	server.Config.ConnState = f.tracker.TrackState
	server.Config.ReadHeaderTimeout = headerTimeout
	server.Listener = f.tracker.Listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	f.conn, f.reader = conn, bufio.NewReader(conn)
	return f
}

func (f *slowFixture) write(t *testing.T, text string) {
	t.Helper()
	if _, err := f.conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func (f *slowFixture) expectStatus(t *testing.T, label string, want int) {
	t.Helper()
	_ = f.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		t.Fatalf("%s: got no response: %v", label, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != want {
		t.Errorf("%s: got status %d, want %d", label, resp.StatusCode, want)
	}
}
