// Package rawserver runs servers on the loopback interface for tests whose servers break the
// protocol: a script reads and writes the bytes of each connection.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server is a running server. It ends with its test.
type Server struct {
	// Address is the server's IP address and port.
	Address  *net.TCPAddr
	accepted atomic.Int32
}

// Start starts a server that calls script with each connection and its number, counted from 1, and
// closes the connection when script returns.
func Start(t testing.TB, script func(n int, c *net.TCPConn, r *bufio.Reader)) *Server {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().(*net.TCPAddr)}
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			n := int(s.accepted.Add(1))
			go func() {
				defer c.Close()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// Accepted returns how many connections the server has accepted.
func (s *Server) Accepted() int { return int(s.accepted.Load()) }

// ReadRequest reads a request with its body, and returns its header, or nil at the end of the
// connection.
func ReadRequest(r *bufio.Reader) http.Header {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil
	}
	return req.Header
}

// ReadHead reads the head of a request and leaves its body unread.
func ReadHead(r *bufio.Reader) {
	for {
		if line, err := r.ReadString('\n'); err != nil || line == "\r\n" {
			return
		}
	}
}
