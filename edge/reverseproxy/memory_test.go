package reverseproxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// takeMemory takes all memory of the fixture's handler until the end of the test.
func (f *fixture) takeMemory(t *testing.T) {
	t.Helper()
	taken := f.handler.Memory.Reserve(memoryaccount.Connections, memoryaccount.Party{})
	taken.Force(f.handler.Memory.Usage().Capacity)
	t.Cleanup(taken.Release)
}

// TestBodyWithoutMemoryIsRefusedUnsent guards against a request that is refused for want of memory
// after it was passed on, or without saying when to come back.
func TestBodyWithoutMemoryIsRefusedUnsent(t *testing.T) {
	f := newFixture(t, 1)
	f.putRecord(catalog.KindConfiguration, "main", strings.Replace(platformtest.Configuration(2, 1500, "key"), `"max_body_bytes":1000`, `"max_body_bytes":1000000`, 1))
	f.takeMemory(t)
	for _, announced := range []int64{100_000, -1} {
		r := f.request(pathUnsafe)
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 100_000))), announced
		got := f.do(r)
		f.expectStatus(got, http.StatusServiceUnavailable)
		if got.header.Get("Retry-After") == "" || !strings.HasPrefix(got.body, "memory_short") {
			t.Errorf("got %+v, want Retry-After and the reason memory_short", got)
		}
	}
	if n := len(f.servers[0].Received()); n > 0 {
		t.Errorf("the server received %d requests, want none", n)
	}
	r := f.request(pathUnsafe)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader("small")), 5
	f.expectStatus(f.do(r), http.StatusOK)
}

// TestResponseWithoutMemoryIsPassedOn guards against work that was passed on and is given up for
// memory, and against a response that breaks off and looks complete.
func TestResponseWithoutMemoryIsPassedOn(t *testing.T) {
	const length = 300_000
	for sent, complete := range map[int]bool{length: true, length / 2: false} {
		f := newFixture(t, 0)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderServerStamp, "stamp")
			w.Header().Set("Content-Length", strconv.Itoa(length))
			_, _ = io.WriteString(w, strings.Repeat("x", sent))
		}))
		t.Cleanup(server.Close)
		entry := &platformtest.BackendServer{ID: "i-9", Service: "s", Address: server.Listener.Addr().String()}
		f.putRecord(catalog.KindServer, entry.ID, entry.Entry("ready"))
		f.takeMemory(t)
		got := f.do(f.request(pathUnsafe))
		if got.status != http.StatusOK || (got.err == nil) != complete || complete && len(got.body) != length {
			t.Errorf("%d of %d bytes sent: got status %d, %d bytes, error %v; want complete %v", sent, length, got.status, len(got.body), got.err, complete)
		}
	}
}
