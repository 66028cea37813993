package engineclient

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

// TestManySmallHeaderFieldsFitIntoMemory guards against servers that send a header of many small
// fields on all connections: each field takes far more memory than it has bytes.
func TestManySmallHeaderFieldsFitIntoMemory(t *testing.T) {
	const connections, maxBytes = 360, 96 << 20
	ready, proceed := make(chan struct{}, connections), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	serve := func(c net.Conn) {
		defer c.Close()
		readAttempt(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for n := range 8192 {
			if _, err := fmt.Fprintf(c, "%x:\r\n", n); err != nil {
				break
			}
		}
		ready <- struct{}{}
		<-proceed
	}
	// A pipe has no buffer: what was written was read.
	client := NewClient(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far)
		return near, nil
	})
	var before, held runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sends sync.WaitGroup
	for range connections {
		sends.Go(func() {
			if resp, err := client.Do(t.Context(), Request{Method: http.MethodGet, Address: "127.0.0.1:1", Path: "/"}); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	for range connections {
		<-ready
	}
	runtime.GC()
	runtime.ReadMemStats(&held)
	release()
	sends.Wait()
	grown := int64(held.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d connections hold %d MB", connections, grown>>20)
	if grown > maxBytes {
		t.Errorf("%d connections hold %d MB, want at most %d MB", connections, grown>>20, int64(maxBytes)>>20)
	}
}
