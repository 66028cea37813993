package engineclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestManySmallHeaderFieldsFitIntoMemory guards against servers that send a header of many small
// fields on all connections: each field takes far more memory than it has bytes.
func TestManySmallHeaderFieldsFitIntoMemory(t *testing.T) {
	const connections, maxBytes = 360, 96 << 20
	ready, proceed := make(chan struct{}, connections), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	address := startScript(t, func(c net.Conn, r *bufio.Reader) {
		readAttempt(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for n := 0; n < 8192; n += 200 {
			var fields strings.Builder
			for m := range 200 {
				fmt.Fprintf(&fields, "%x:\r\n", n+m)
			}
			if _, err := io.WriteString(c, fields.String()); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		ready <- struct{}{}
		<-proceed
	})
	client := NewClient(nil)
	var before, held runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sends sync.WaitGroup
	for range connections {
		sends.Go(func() {
			if resp, err := client.Do(t.Context(), Request{Method: http.MethodGet, Address: address, Path: "/"}); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	timeout := time.After(8 * time.Second)
	for n := range connections {
		select {
		case <-ready:
		case <-timeout:
			t.Fatalf("%d connections have had their header, want %d", n, connections)
		}
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
