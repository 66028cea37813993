package engineclient

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestEndlessHeaderIsNotRead guards against a server that sends a header without end, which
// would fill the instance's memory when many requests meet it.
func TestEndlessHeaderIsNotRead(t *testing.T) {
	var sent atomic.Int64
	// A pipe has no buffer: what was sent was read.
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			chunk := []byte("HTTP/1.1 200 OK\r\nX-Long: ")
			for {
				n, err := far.Write(chunk)
				sent.Add(int64(n))
				if err != nil {
					return
				}
				chunk = []byte(strings.Repeat("a", 4096))
			}
		}()
		return near, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := NewClient(dial).Do(ctx, Request{Method: http.MethodGet, Address: "127.0.0.1:1", Path: "/"})
	var sendError *SendError
	if !errors.As(err, &sendError) || sendError.NotStarted {
		t.Errorf("got error %v, want a send error that does not say that the request was not started", err)
	}
	const readAhead = 8 << 10
	if got := sent.Load(); got > maxHeaderBytes+readAhead {
		t.Errorf("%d bytes of the header were read, want at most %d", got, maxHeaderBytes+readAhead)
	}
}
