package reverseproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// How far a server gets with its answer before the attempt ends early.
const (
	stopBeforeHead = "before the head"
	stopInBody     = "in a body that is read whole"
	stopAsRead     = "in a body that is passed on as it is read"
	stopInStream   = "in a stream"
	// largeAnswer is the length of a body. It does not fit into the socket buffers.
	largeAnswer = 24 << 20
)

// oddServer answers requests for paths that end in "/odd" as far as stop says, and then breaks off, is silent,
// or writes the rest. It answers all others.
type oddServer struct {
	stop         string
	breaks, goOn bool
	got          chan struct{}
}

func (s *oddServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderServerStamp, "stamp")
	if !strings.HasSuffix(r.URL.Path, "/odd") {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		return
	}
	part := strings.Repeat("x", 300<<10)
	switch s.stop {
	case stopInBody, stopAsRead:
		w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
		_, _ = io.WriteString(w, part)
	case stopInStream:
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}
	if s.stop != stopBeforeHead {
		_ = http.NewResponseController(w).Flush()
	}
	close(s.got)
	if s.breaks {
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	for s.goOn && r.Context().Err() == nil {
		event := part
		if s.stop == stopInStream {
			event = "data: " + part + "\n\n"
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
	}
	<-r.Context().Done()
}

// earlyEnds are the ways in which an attempt ends before its answer does. The server's part is in
// oddServer. In the others, the caller leaves, reads nothing, or waits, and the instance may end the request.
var earlyEnds = map[string]struct {
	server      oddServer
	leaves, cut bool
	// write, if set, is what a write to the caller does.
	write func() error
}{
	"the server breaks off":       {server: oddServer{breaks: true}},
	"the caller leaves":           {leaves: true},
	"the caller reads nothing":    {server: oddServer{goOn: true}, write: failLate},
	"the handler panics":          {server: oddServer{goOn: true}, write: func() error { panic(http.ErrAbortHandler) }},
	"the deadline passes":         {},
	"the instance ends it":        {cut: true},
	"the caller leaves meanwhile": {server: oddServer{goOn: true}, leaves: true},
}

// newEarlyEndFixture returns a fixture with one server, to which there may be one connection at most.
func newEarlyEndFixture(t *testing.T, s *oddServer) *fixture {
	f := newFixture(t, 0)
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	entry := platformtest.BackendServer{ID: "i-9", Service: "s", Address: server.Listener.Addr().String()}
	f.putRecord(catalog.KindServer, entry.ID, entry.Entry("ready"))
	f.putRecord(catalog.KindConfiguration, "main", platformtest.OneConnectionAServer(platformtest.Configuration(2, streamTimeoutMs, "key")))
	if s.stop == stopAsRead {
		f.takeMemory(t)
	}
	return f
}

// failLate is a write to a caller that reads nothing.
func failLate() error {
	time.Sleep(100 * time.Millisecond)
	return os.ErrDeadlineExceeded
}

// failingWriter is a response writer whose writes do what write does.
type failingWriter struct {
	*httptest.ResponseRecorder
	write func() error
}

func (w failingWriter) Write([]byte) (int, error) { return 0, w.write() }

// playEarlyEnd has the handler serve a request that ends early, and waits until it has ended.
func (f *fixture) playEarlyEnd(path string, s *oddServer, leaves, cut bool, write func() error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	r := f.request(path + "odd").WithContext(ctx)
	r.RequestURI = path + "odd"
	r.Header.Set(platform.HeaderDeadline, "700")
	var w http.ResponseWriter = httptest.NewRecorder()
	if write != nil {
		w = failingWriter{httptest.NewRecorder(), write}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				f.t.Errorf("the handler panicked: %v", p)
			}
		}()
		f.handler.ServeHTTP(w, r)
	}()
	<-s.got
	time.Sleep(30 * time.Millisecond)
	switch {
	case leaves:
		cancel(nil)
	case cut:
		cancel(ErrCut)
	}
	<-ended
}

// awaitSound waits until a request is served. A server that broke off is avoided for a while, and
// the instance learns a moment later that a caller has left. What stays counted does so for good.
func (f *fixture) awaitSound(path string) {
	f.t.Helper()
	got := f.do(f.request(path))
	for end := time.Now().Add(5 * time.Second); got.status != http.StatusOK && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		got = f.do(f.request(path))
	}
	f.expectStatus(got, http.StatusOK)
}

// awaitNoLoad waits until no request is counted at a server. An answer reaches its caller a moment before
// its attempt has ended.
func (f *fixture) awaitNoLoad() {
	f.t.Helper()
	var load []string
	for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		load = nil
		for _, report := range f.handler.Selector.Reports(time.Now()).Servers {
			if report.Load.Running != 0 || report.Load.Waiting != 0 {
				load = append(load, fmt.Sprintf("server %x has the load %+v", report.Key, report.Load))
			}
		}
		if load == nil {
			return
		}
	}
	f.t.Errorf("%v after all requests ended, want none", load)
}

// TestEarlyEndGivesConnectionBack guards against a connection, and a place at a server, that stay counted after an
// attempt has ended early, so that the server's service is refused for good in the end.
func TestEarlyEndGivesConnectionBack(t *testing.T) {
	for endName, end := range earlyEnds {
		for _, stop := range []string{stopBeforeHead, stopInBody, stopAsRead, stopInStream} {
			for kind, path := range map[string]string{"safe": pathSafe, "unsafe": pathUnsafe, "stream": pathStream, "resumable": pathResumable} {
				if isStream := kind == "stream" || kind == "resumable"; isStream != (stop == stopInStream) && stop != stopBeforeHead {
					continue
				}
				t.Run(strings.Join([]string{kind, endName, stop}, ", "), func(t *testing.T) {
					t.Parallel()
					s := end.server
					s.stop, s.got = stop, make(chan struct{})
					f := newEarlyEndFixture(t, &s)
					f.playEarlyEnd(path, &s, end.leaves, end.cut, end.write)
					f.awaitSound(path)
					f.awaitNoLoad()
				})
			}
		}
	}
}

// TestEarlyEndOfHandedOnRequestGivesConnectionBack guards against the same for the connections to another
// instance: as many requests end early as there may be connections to it.
func TestEarlyEndOfHandedOnRequestGivesConnectionBack(t *testing.T) {
	var odd atomic.Bool
	odd.Store(true)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderServerStamp, "stamp")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		if odd.Load() {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(peer.Close)
	f := newFixture(t, 1)
	f.cutOff()
	address := netip.MustParseAddrPort(peer.Listener.Addr().String())
	f.handler.PeerRelay.Relays = func() []gossip.Relay { return []gossip.Relay{{Name: "peer", Callers: address}} }
	var callers sync.WaitGroup
	for range maxRelayConnections {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		r := f.request(pathStream).WithContext(ctx)
		callers.Go(func() {
			if got := f.do(r); got.err == nil {
				t.Errorf("got %+v, want no whole answer", got)
			}
		})
	}
	callers.Wait()
	odd.Store(false)
	f.awaitSound(pathStream)
}
