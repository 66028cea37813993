package reverseproxy

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// lockedBuffer is a log output that may be read while lines are written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// connectionRecorder is a ConnState hook that keeps the server's side of the last
// connection, so that a test can close it as the instance would.
type connectionRecorder struct {
	mu   sync.Mutex
	last net.Conn
}

func (r *connectionRecorder) record(conn net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = conn
}

func (r *connectionRecorder) closeLast() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.last.Close()
}

// deliveryFixture is a fixture whose callers' connections and failure log a test sees.
type deliveryFixture struct {
	*fixture
	connections connectionRecorder
	log         lockedBuffer
}

func newDeliveryFixture(t *testing.T) *deliveryFixture {
	t.Helper()
	f := &deliveryFixture{fixture: newFixture(t, 1)}
	f.handler.Failures = slog.New(slog.NewJSONHandler(&f.log, nil))
	server := httptest.NewUnstartedServer(f.handler)
	server.Config.ConnState = f.connections.record
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// awaitServed waits until the backend server has begun to serve n requests.
func (f *deliveryFixture) awaitServed(n int) {
	f.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); len(f.servers[0].Received()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("the server got %d requests, want %d", len(f.servers[0].Received()), n)
		}
	}
}

// expectLogged waits for a line of the failure log that contains all the texts.
func (f *deliveryFixture) expectLogged(texts ...string) {
	f.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for line := range strings.Lines(f.log.String()) {
			if containsAll(line, texts) {
				return
			}
		}
	}
	f.t.Errorf("no line with %q in the log:\n%s", texts, f.log.String())
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

// expectCounted waits for a value of the counter of responses that were not delivered.
func (f *deliveryFixture) expectCounted(end outcome.ConnectionEnd, want string) {
	f.t.Helper()
	line := `bergamotpin_responses_undelivered{connection="` + end.String() + `",data_centre="dc1",instance="test"} ` + want
	text := ""
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		w := httptest.NewRecorder()
		f.handler.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if text = w.Body.String(); strings.Contains(text, line) {
			return
		}
	}
	f.t.Errorf("%s is missing in the metrics:\n%s", line, text)
}

// TestConnectionClosedByInstanceIsNotLoggedAsCallersDoing closes a caller's connection in
// this process while its request is at a server. The log once said only "caller left".
func TestConnectionClosedByInstanceIsNotLoggedAsCallersDoing(t *testing.T) {
	for name, b := range map[string]platformtest.Behaviour{
		"before the response": {Hang: true},
		"inside a stream":     {Events: 1000, EventPause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDeliveryFixture(t)
			f.setBehaviour(b)
			request := f.request(pathStream)
			done := make(chan response, 1)
			go func() { done <- f.do(request) }()
			f.awaitServed(1)
			time.Sleep(50 * time.Millisecond)
			f.connections.closeLast()
			if got := <-done; got.err == nil {
				t.Errorf("got %+v on a closed connection, want an error", got)
			}
			f.expectLogged(`"msg":"caller left"`, `"connection":"closed_by_instance"`, `"request":"request-1"`)
			f.expectCounted(outcome.ClosedByInstance, "1")
		})
	}
}

// TestCallerThatLeavesIsLoggedAsSuch cancels a request while it is at a server.
func TestCallerThatLeavesIsLoggedAsSuch(t *testing.T) {
	for name, b := range map[string]platformtest.Behaviour{
		"before the response": {Hang: true},
		"inside a stream":     {Events: 1000, EventPause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDeliveryFixture(t)
			f.setBehaviour(b)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			if got := f.do(f.request(pathStream).WithContext(ctx)); got.err == nil {
				t.Errorf("got %+v for a cancelled request, want an error", got)
			}
			f.expectLogged(`"msg":"caller left"`, `"connection":"closed_by_caller"`, `"request":"request-1"`)
			f.expectCounted(outcome.ClosedByCaller, "1")
		})
	}
}

// closingWriter closes the server's side of the connection right before the first byte of
// the response is written.
type closingWriter struct {
	http.ResponseWriter
	close func()
}

func (w closingWriter) WriteHeader(status int) {
	w.close()
	w.ResponseWriter.WriteHeader(status)
}

func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestResponseThatFailsToBeWrittenIsLogged has the write of a small response fail, of
// which net/http says nothing to the handler if it is flushed after the handler's end.
func TestResponseThatFailsToBeWrittenIsLogged(t *testing.T) {
	for _, c := range []struct{ name, path, status string }{
		{"whole response", pathSafe, `"status":200`},
		{"refusal", "/no-route", `"status":404`},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDeliveryFixture(t)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				f.handler.ServeHTTP(closingWriter{w, f.connections.closeLast}, r)
			}))
			server.Config.ConnState = f.connections.record
			server.Start()
			defer server.Close()
			f.url = server.URL
			if got := f.do(f.request(c.path)); got.err == nil {
				t.Errorf("got %+v on a closed connection, want an error", got)
			}
			f.expectLogged(`"msg":"response not delivered"`, `"connection":"closed_by_instance"`, `"request":"request-1"`, c.status)
			f.expectCounted(outcome.ClosedByInstance, "1")
		})
	}
}

// TestRefusalKeepsItsLengthAndConnection checks that a refusal that is flushed at once
// still has a length and leaves the connection open for the next request.
func TestRefusalKeepsItsLengthAndConnection(t *testing.T) {
	f := newDeliveryFixture(t)
	for range 2 {
		resp, err := http.DefaultClient.Do(f.request("/no-route"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.ContentLength != int64(len(body)) || len(resp.TransferEncoding) > 0 || resp.Close {
			t.Errorf("got length %d, encoding %v, close %v, error %v for a body of %d bytes", resp.ContentLength, resp.TransferEncoding, resp.Close, err, len(body))
		}
	}
}
