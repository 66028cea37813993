package backendclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// longUpload is a request whose body does not fit into the socket buffers.
func longUpload() Request {
	long := newRequest("1")
	long.Body = [][]byte{make([]byte, 32<<20)}
	return long
}

// TestResetDuringUploadIsAnError guards against a part of an answer that counts as a whole one: its
// server resets the connection while the request is still being written, and the write, not the
// read, gets the error.
func TestResetDuringUploadIsAnError(t *testing.T) {
	for name, ended := range map[string]bool{"read meanwhile": false, "read after the write has failed": true} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				rawserver.ReadHead(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of the answer")
				// Let the bytes arrive, since the reset would discard them otherwise.
				time.Sleep(20 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			for range 20 {
				resp, err := NewClient(nil).Send(context.Background(), s.server(), longUpload())
				if err != nil {
					// The reset came before the head.
					continue
				}
				if ended {
					<-resp.written
				}
				body, err := io.ReadAll(resp)
				resp.Close()
				if err == nil {
					t.Fatalf("the part %q was read as a whole answer, want an error", body)
				}
			}
		})
	}
}

// TestEarlyAnswerWithoutLengthIsWhole guards against an answer that is lost because its server gave it
// before it had read the request, which it reads to the end afterwards.
func TestEarlyAnswerWithoutLengthIsWhole(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		rawserver.ReadHead(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nthe whole answer")
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	resp, err := NewClient(nil).Send(context.Background(), s.server(), longUpload())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	go func() {
		<-resp.written
		// The server reads until the caller ends.
		_ = resp.conn.net.(*net.TCPConn).CloseWrite()
	}()
	if body, err := io.ReadAll(resp); err != nil || string(body) != "the whole answer" {
		t.Errorf("got the answer %q, error %v; want the whole answer", body, err)
	}
}

// TestEndOfAnswerWithoutUploadIsNotAwaited guards against an answer without a length that is held back for
// good, because its server has ended it and never reads the rest of the request.
func TestEndOfAnswerWithoutUploadIsNotAwaited(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		rawserver.ReadHead(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nan answer")
		_ = c.CloseWrite()
		<-release
	})
	resp, err := NewClient(nil).Send(context.Background(), s.server(), longUpload())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if err := resp.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if body, err := io.ReadAll(resp); err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("got the answer %q, error %v after %v; want an error at the read deadline", body, err, time.Since(began))
	}
}
