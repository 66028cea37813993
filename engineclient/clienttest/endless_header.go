// Package clienttest has checks that the clients of backend servers share.
package clienttest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
)

// EndlessHeader describes servers that send a header of many small fields, a few bytes at a time.
// Each field takes far more memory than it has bytes.
type EndlessHeader struct {
	// Connections is the number of servers, each with one connection. Fields is the number of
	// fields that each sends if its connection lasts.
	Connections, Fields int
	// MaxBytes is the most memory that all connections together may hold, in bytes.
	MaxBytes int64
	// Client returns a function that sends request n and waits for its response. All requests
	// are sent with one client, which uses the given dial function.
	Client func(dial DialFunc) (send func(n int))
}

// DialFunc connects to a server.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Check sends a request to each server, and measures the memory that is held once each server has
// sent its fields or can't send more.
func (h EndlessHeader) Check(t *testing.T) {
	t.Helper()
	sent, proceed := make(chan struct{}, h.Connections), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	// A pipe has no buffer: what was written was read.
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			h.sendFields(far)
			sent <- struct{}{}
			<-proceed
		}()
		return near, nil
	}
	send := h.Client(dial)
	var before, held runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sends sync.WaitGroup
	for n := range h.Connections {
		sends.Go(func() { send(n) })
	}
	for range h.Connections {
		<-sent
	}
	runtime.GC()
	runtime.ReadMemStats(&held)
	release()
	sends.Wait()
	grown := int64(held.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d connections hold %d MB", h.Connections, grown>>20)
	if grown > h.MaxBytes {
		t.Errorf("%d connections hold %d MB, want at most %d MB", h.Connections, grown>>20, h.MaxBytes>>20)
	}
}

// sendFields reads a request and sends the header of its response.
func (h EndlessHeader) sendFields(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	for n := range h.Fields {
		if _, err := fmt.Fprintf(c, "%x:\r\n", n); err != nil {
			return
		}
	}
}
