package callerconn

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// fixture is an http.Server with a Tracker. handled counts its requests.
type fixture struct {
	tracker *Tracker
	address string
	handled atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{tracker: New()}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.handled.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}))
	server.Config.ConnState = f.tracker.TrackState
	server.Listener = f.tracker.Listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

// keptConnection returns a connection that has carried one request.
func (f *fixture) keptConnection(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(conn)
	if _, err := http.ReadResponse(responses, nil); err != nil {
		t.Fatal(err)
	}
	return conn, responses
}

// countUnanswered sends a request on a kept connection in each round, and calls closeConnections up
// to 60 microseconds after it. It returns how many requests were handled and got no answer.
func countUnanswered(t *testing.T, rounds int, closeConnections func(*Tracker)) int {
	random := rand.New(rand.NewPCG(22, 1))
	unanswered := 0
	f := newFixture(t)
	for range rounds {
		conn, responses := f.keptConnection(t)
		before := f.handled.Load()
		delay := time.Duration(random.IntN(60)) * time.Microsecond
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			time.Sleep(delay)
			closeConnections(f.tracker)
		}()
		// A failed write means that the connection was closed before: nothing was handled.
		_, _ = conn.Write([]byte(request))
		_, err := http.ReadResponse(responses, nil)
		<-closed
		_ = conn.Close()
		if err != nil && f.handled.Load() > before {
			unanswered++
		}
	}
	return unanswered
}

// TestRequestThatWasPassedOnIsAnsweredBesideClosing guards against a request that is handled and gets no answer, because its
// connection was closed as idle while the request was read.
func TestRequestThatWasPassedOnIsAnsweredBesideClosing(t *testing.T) {
	const rounds = 2000
	closings := map[string]func(*Tracker){
		"idle for too long": func(t *Tracker) { t.CloseIdle(time.Nanosecond, time.Now().Add(time.Minute)) },
		"stop": func(t *Tracker) {
			t.CloseWhenIdle()
			t.CloseUnused()
			// The next round needs connections that are kept.
			t.mu.Lock()
			defer t.mu.Unlock()
			t.stopping = false
		},
	}
	for name, closeConnections := range closings {
		t.Run(name, func(t *testing.T) {
			if n := countUnanswered(t, rounds, closeConnections); n > 0 {
				t.Errorf("%d of %d requests were handled and got no answer, want none", n, rounds)
			}
		})
	}
}

// TestOpenConnectionsAreCounted guards against a stop that waits for ever, or not at all.
func TestOpenConnectionsAreCounted(t *testing.T) {
	f := newFixture(t)
	conn, _ := f.keptConnection(t)
	if got := f.tracker.Count(); got != 1 {
		t.Errorf("got %d open connections, want 1", got)
	}
	_ = conn.Close()
	for deadline := time.Now().Add(5 * time.Second); f.tracker.Count() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d open connections after the last one was closed, want 0", f.tracker.Count())
		}
	}
}
