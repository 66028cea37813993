package backendclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
)

// scripted is a server on loopback whose connections run a script.
type scripted struct {
	address  netip.AddrPort
	accepted atomic.Int32
}

// serve starts a server that runs script on each connection, with the number of
// the connection, and closes it when script returns.
func serve(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
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

func (s *scripted) server() Server {
	return Server{Key: "s", Address: s.address, MaxConnections: 4}
}

// readRequest reads one request and returns its id, or "" at the end.
func readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	return req.Header.Get("X-Id")
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) Request {
	deadline := time.Now().Add(5 * time.Second)
	return Request{
		Method: http.MethodPost, Path: "/p?q=1", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("b"),
		IDHeader: "X-Id", ID: id, Deadline: deadline, HeaderDeadline: deadline,
	}
}

// fetch sends a request and reads its answer to the end.
func fetch(t *testing.T, c *Client, s Server, id string) string {
	t.Helper()
	a, err := c.Send(context.Background(), s, request(id))
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	return string(body)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, answer(id, "of "+id))
		}
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2", "3"} {
		if got := fetch(t, c, s.server(), id); got != "of "+id {
			t.Errorf("got %q", got)
		}
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("%d connections for three requests in a row, want 1", n)
	}
}

// TestExtraAnswerReachesNoOtherRequest has a server send a second answer after
// the first, at once or only when the next request has come.
func TestExtraAnswerReachesNoOtherRequest(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				extra := ""
				for id := readRequest(r); id != ""; id = readRequest(r) {
					if late {
						_, _ = io.WriteString(c, extra+answer(id, "of "+id))
						extra = answer(id, "extra of "+id)
						continue
					}
					_, _ = io.WriteString(c, answer(id, "of "+id)+answer(id, "extra of "+id))
				}
			})
			c := NewClient(nil)
			for _, id := range []string{"1", "2", "3"} {
				if got := fetch(t, c, s.server(), id); got != "of "+id {
					t.Errorf("request %s got %q", id, got)
				}
			}
		})
	}
}

// TestOtherRequestsAnswerOnlyIsAFailure has a server answer with another id for
// ever.
func TestOtherRequestsAnswerOnlyIsAFailure(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, strings.Repeat(answer("other", "x"), 5))
	})
	_, err := NewClient(nil).Send(context.Background(), s.server(), request("1"))
	var send *engineclient.SendError
	if !errors.As(err, &send) || send.NotStarted {
		t.Errorf("got %v, want a failure that may have run", err)
	}
}

func TestTruncatedAnswerIsNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			a, err := NewClient(nil).Send(context.Background(), s.server(), request("1"))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if body, err := io.ReadAll(a); err == nil {
				t.Errorf("%q was taken for whole", body)
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nall of it")
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2"} {
		if got := fetch(t, c, s.server(), id); got != "all of it" {
			t.Errorf("got %q", got)
		}
	}
	if n := s.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf")
		// Time for the bytes to arrive before the reset discards them.
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	a, err := NewClient(nil).Send(context.Background(), s.server(), request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if body, err := io.ReadAll(a); err == nil {
		t.Errorf("%q was taken for whole", body)
	}
}

// TestEarlyAnswerToALongBody has a server answer before it read the body. What
// is left of the body must not be read as the next request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	s := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, answer(id, "of "+id))
			}
			return
		}
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, answer("1", "early"))
		time.Sleep(100 * time.Millisecond)
	})
	c := NewClient(nil)
	long := request("1")
	long.Body = make([]byte, 8<<20)
	a, err := c.Send(context.Background(), s.server(), long)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a)
	a.Close()
	if err != nil || string(body) != "early" {
		t.Errorf("got %q, %v", body, err)
	}
	if got := fetch(t, c, s.server(), "2"); got != "of 2" {
		t.Errorf("the next request got %q", got)
	}
}

func TestUnreachableServerDidNotRunIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	_, err = NewClient(nil).Send(context.Background(), Server{Key: "s", Address: address, MaxConnections: 1}, request("1"))
	var send *engineclient.SendError
	if !errors.As(err, &send) || !send.NotStarted || send.Reason != outcome.ServerUnreachable {
		t.Errorf("got %v, want one that did not start", err)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		<-release
		_, _ = io.WriteString(c, answer(id, "x"))
	})
	c := NewClient(nil)
	target := s.server()
	target.MaxConnections = 1
	done := make(chan struct{})
	go func() {
		defer close(done)
		fetch(t, c, target, "1")
	}()
	for s.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Send(context.Background(), target, request("2"))
	close(release)
	<-done
	var send *engineclient.SendError
	if !errors.As(err, &send) || !send.NotStarted {
		t.Errorf("got %v, want one that did not start", err)
	}
}

func TestLeavingCallerClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewClient(nil).Send(ctx, s.server(), request("1"))
	var send *engineclient.SendError
	if !errors.As(err, &send) || send.Reason != outcome.CallerLeft {
		t.Errorf("got %v, want that the caller left", err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the server's connection stayed open")
	}
}

func TestHeadThatStaysOutEndsTheAttempt(t *testing.T) {
	s := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
	})
	r := request("1")
	r.HeaderDeadline = time.Now().Add(50 * time.Millisecond)
	_, err := NewClient(nil).Send(context.Background(), s.server(), r)
	var send *engineclient.SendError
	if !errors.As(err, &send) || send.Reason != outcome.ServerTimeout || send.NotStarted {
		t.Errorf("got %v, want a timeout that may have run", err)
	}
}

// TestConnectionClosedByItsServerIsNotUsed closes a kept connection at the
// server before the next request.
func TestConnectionClosedByItsServerIsNotUsed(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, answer(id, "of "+id))
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2"} {
		if got := fetch(t, c, s.server(), id); got != "of "+id {
			t.Errorf("got %q", got)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	ended := make(chan struct{}, 1)
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, answer(id, "x"))
		_, _ = r.ReadByte()
		ended <- struct{}{}
	})
	c := NewClient(nil)
	fetch(t, c, s.server(), "1")
	c.CloseIdle(func(string) bool { return false })
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("a connection to a server that is gone stayed open")
	}
}

func TestKeepFor(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                  unstatedIdle,
		"timeout=10":        10*time.Second - idleMargin,
		"max=5, timeout=3":  3*time.Second - idleMargin,
		"timeout=0":         unstatedIdle,
		"timeout=nonsense":  unstatedIdle,
		"Timeout=1, max=10": time.Second - idleMargin,
	} {
		if got := keepFor(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}
