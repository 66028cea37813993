package loadpoller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/schedcore"
)

// discard is a sink that keeps nothing.
type discard struct{}

func (discard) Observe(string, func(*schedcore.Input)) {}

// TestEndlessReportIsNotKept guards against servers that answer a poll with bytes without end,
// which the instance would hold until the poll's time is over.
func TestEndlessReportIsNotKept(t *testing.T) {
	const enough = 32 << 20
	for path, begin := range map[string]string{
		engineapi.PathLoad:        `{"running":1,"x":"`,
		engineapi.PathCacheEvents: `{"seq":1}` + "\n",
	} {
		t.Run(path, func(t *testing.T) {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != path {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				_, _ = io.WriteString(w, begin)
				chunk := bytes.Repeat([]byte("a"), 64<<10)
				if path == engineapi.PathCacheEvents {
					// Each event is decoded by itself, and holds more than it needs.
					chunk = fmt.Appendf(nil, `{"seq":2,"x":"%s"}`+"\n", chunk[:60<<10])
				}
				for sent.Load() < enough {
					n, err := w.Write(chunk)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}))
			defer server.Close()
			poller := NewPoller(Options{Client: engineclient.NewClient(nil), Sink: discard{}})
			poller.poll(t.Context(), Target{Server: "s", Address: server.Listener.Addr().String(), Models: []string{"m"}})
			// The sockets' buffers hold a few megabytes.
			const maxSent = 16 << 20
			if got := sent.Load(); got > maxSent {
				t.Errorf("the server could send %d MB, want at most %d MB", got>>20, maxSent>>20)
			}
		})
	}
}
