package engineclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// TestResetDuringUploadIsAnError guards against a part of an answer that counts as a whole one: its
// server resets the connection while the request is still being written, and the write, not the
// read, gets the error.
func TestResetDuringUploadIsAnError(t *testing.T) {
	server := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		rawserver.ReadHead(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
		// Let the bytes arrive, since the reset would discard them otherwise.
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	client := NewClient(nil)
	defer client.Close()
	for n := range 60 {
		resp, err := client.Do(context.Background(), Request{Method: http.MethodPost, Address: server.Address.String(), Path: "/", Body: make([]byte, 32<<20)})
		if err != nil {
			// The reset came before the head.
			continue
		}
		if n%2 == 1 {
			time.Sleep(30 * time.Millisecond)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Fatalf("the part %q was read as a whole answer, want an error", body)
		}
	}
}

// TestAnswerWithoutLengthIsWhole guards against an answer that is lost because it has no length,
// after a short request and after a long one that its server has read.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	server := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		readAttempt(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nthe whole answer")
	})
	client := NewClient(nil)
	defer client.Close()
	for _, length := range []int{0, 2, 8 << 20} {
		resp, err := client.Do(context.Background(), Request{Method: http.MethodPost, Address: server.Address.String(), Path: "/", Body: make([]byte, length)})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != "the whole answer" {
			t.Errorf("after a request of %d bytes got the answer %q, error %v; want the whole answer", length, body, err)
		}
	}
}
