package backendclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// scriptedServer is a server that runs a script on each connection.
type scriptedServer struct{ *rawserver.Server }

func startServer(t *testing.T, script func(n int, c *net.TCPConn, r *bufio.Reader)) scriptedServer {
	t.Helper()
	return scriptedServer{rawserver.Start(t, script)}
}

func (s scriptedServer) server() Server {
	return Server{Key: "s", Address: s.Address.AddrPort(), MaxConnections: 4}
}

// readRequest reads one request and returns its ID, or "" if the connection ended.
func readRequest(r *bufio.Reader) string { return rawserver.ReadRequest(r).Get("X-Id") }

// responseText returns a complete response with a request ID and a body.
func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) Request {
	deadline := time.Now().Add(5 * time.Second)
	return Request{
		Method: http.MethodPost, Path: "/p?q=1", Host: "h", Header: http.Header{"X-Id": {id}}, Body: [][]byte{[]byte("b")},
		IDHeader: "X-Id", ID: id, Deadline: deadline, HeaderDeadline: deadline,
	}
}

// fetch sends a request and returns the whole body of the response.
func fetch(t *testing.T, c *Client, s Server, id string) string {
	t.Helper()
	resp, err := c.Send(context.Background(), s, newRequest(id))
	if err != nil {
		t.Fatalf("sending request %s: %v", id, err)
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	if err != nil {
		t.Fatalf("reading the response to request %s: %v", id, err)
	}
	return string(body)
}

// TestConnectionIsReused sends three requests in sequence. All must use the same
// connection.
func TestConnectionIsReused(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, responseText(id, "of "+id))
		}
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2", "3"} {
		if got := fetch(t, c, s.server(), id); got != "of "+id {
			t.Errorf("got the response %q, want the response to the request just sent", got)
		}
	}
	if n := s.Accepted(); n != 1 {
		t.Errorf("got %d connections for three sequential requests, want 1", n)
	}
}

// TestExtraResponseIsNotUsedForOtherRequest has a server send a second response to
// each request, either together with the first response or only after the next request.
// No request may get a response that belongs to another request.
func TestExtraResponseIsNotUsedForOtherRequest(t *testing.T) {
	for name, afterNextRequest := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				extra := ""
				for id := readRequest(r); id != ""; id = readRequest(r) {
					if afterNextRequest {
						_, _ = io.WriteString(c, extra+responseText(id, "of "+id))
						extra = responseText(id, "extra of "+id)
						continue
					}
					_, _ = io.WriteString(c, responseText(id, "of "+id)+responseText(id, "extra of "+id))
				}
			})
			c := NewClient(nil)
			for _, id := range []string{"1", "2", "3"} {
				if got := fetch(t, c, s.server(), id); got != "of "+id {
					t.Errorf("request %s got the response %q, want the first response to this request", id, got)
				}
			}
		})
	}
}

// TestRefusalWithoutIDOnKeptConnectionPromisesNothing guards against requests that are taken for
// not run, and run again elsewhere, because a server wrote an earlier refusal once more: one
// without an ID can't be told from the answer, unless nothing was sent on the connection before.
func TestRefusalWithoutIDOnKeptConnectionPromisesNothing(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
	withID := strings.Replace(refusal, "X-Not", "X-Id: 1\r\nX-Not", 1)
	for name, test := range map[string]struct {
		refusal, again string
		want           int
	}{
		"without an ID, on a kept connection": {refusal, refusal, 0},
		"with the earlier ID":                 {withID, withID, 200},
		"with an ID, then without":            {withID, refusal, 0},
		"after an interim response":           {refusal, "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, test.refusal)
				if id := readRequest(r); id != "" {
					_, _ = io.WriteString(c, test.again)
					_, _ = io.WriteString(c, responseText(id, "of "+id))
				}
			})
			c := NewClient(nil)
			first, err := c.Send(context.Background(), s.server(), newRequest("1"))
			if err != nil || first.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("got %v, error %v; want the refusal, which is the first response on its connection", first, err)
			}
			_, _ = io.Copy(io.Discard, first)
			first.Close()
			second, err := c.Send(context.Background(), s.server(), newRequest("2"))
			got := 0
			if err == nil {
				got = second.StatusCode
				second.Close()
			}
			var sendError *engineclient.SendError
			if errors.As(err, &sendError) && sendError.NotStarted {
				t.Error("the error says that the request was not started, want it not to")
			}
			if got != test.want {
				t.Errorf("got status %d, error %v; want %d (0: no response)", got, err, test.want)
			}
			if n := s.Accepted(); n != 1 {
				t.Errorf("got %d connections, want 1: the test needs a kept one", n)
			}
		})
	}
}

// TestOnlyMismatchedResponsesAreAFailure has a server send only responses with another
// request ID. The error must not claim that the request was not started.
func TestOnlyMismatchedResponsesAreAFailure(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, strings.Repeat(responseText("other", "x"), 5))
	})
	_, err := NewClient(nil).Send(context.Background(), s.server(), newRequest("1"))
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) || sendErr.NotStarted {
		t.Errorf("got %v, want a SendError with NotStarted false", err)
	}
}

// TestTruncatedResponseIsAnError has a server close the connection in the middle of a
// response that states its length or is chunked.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			resp, err := NewClient(nil).Send(context.Background(), s.server(), newRequest("1"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			if body, err := io.ReadAll(resp); err == nil {
				t.Errorf("the truncated response %q was read without an error, want an error", body)
			}
		})
	}
}

// TestResponseWithoutLengthEndsWithConnection has a server mark the end of a response by
// closing the connection. The next request must use a new connection.
func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nall of it")
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2"} {
		if got := fetch(t, c, s.server(), id); got != "all of it" {
			t.Errorf("got the response %q, want the whole body", got)
		}
	}
	if n := s.Accepted(); n != 2 {
		t.Errorf("got %d connections for two responses without a length, want 2", n)
	}
}

// TestResetResponseWithoutLengthIsAnError has a server reset the connection in the middle
// of a response without a length. The part that arrived must not look complete.
func TestResetResponseWithoutLengthIsAnError(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf")
		// Let the bytes arrive, since the reset would discard them otherwise. Without
		// lingering, closing the connection resets it.
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	resp, err := NewClient(nil).Send(context.Background(), s.server(), newRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp); err == nil {
		t.Errorf("the truncated response %q was read without an error, want an error", body)
	}
}

// TestEarlyResponseToLongBody has a server respond before it has read the body. The
// rest of the body must not be read as the next request.
func TestEarlyResponseToLongBody(t *testing.T) {
	s := startServer(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
		if n > 1 {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, responseText(id, "of "+id))
			}
			return
		}
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, responseText("1", "early"))
		time.Sleep(100 * time.Millisecond)
	})
	c := NewClient(nil)
	long := newRequest("1")
	long.Body = [][]byte{make([]byte, 8<<20)}
	resp, err := c.Send(context.Background(), s.server(), long)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp)
	resp.Close()
	if err != nil || string(body) != "early" {
		t.Errorf("got the response %q, error %v; want the body \"early\" and no error", body, err)
	}
	if got := fetch(t, c, s.server(), "2"); got != "of 2" {
		t.Errorf("request 2 got the response %q, want the response to request 2", got)
	}
}

// TestUnreachableServerReportsNotStarted sends a request to a port that nothing listens
// on. The error must say that the server did not run the request.
func TestUnreachableServerReportsNotStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	_, err = NewClient(nil).Send(context.Background(), Server{Key: "s", Address: address, MaxConnections: 1}, newRequest("1"))
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) || !sendErr.NotStarted || sendErr.Reason != outcome.ServerUnreachable {
		t.Errorf("got %v, want reason ServerUnreachable and NotStarted true", err)
	}
}

// TestConnectionsAreBounded sends a request while another request uses the only allowed
// connection. The second request must fail without being sent.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		id := readRequest(r)
		<-release
		_, _ = io.WriteString(c, responseText(id, "x"))
	})
	c := NewClient(nil)
	server := s.server()
	server.MaxConnections = 1
	done := make(chan struct{})
	go func() {
		defer close(done)
		fetch(t, c, server, "1")
	}()
	for s.Accepted() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Send(context.Background(), server, newRequest("2"))
	close(release)
	<-done
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) || !sendErr.NotStarted {
		t.Errorf("got %v, want a SendError with NotStarted true", err)
	}
}

// TestCancelledContextClosesConnection cancels a request's context while the server works
// on the request. The server must see the connection close.
func TestCancelledContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(_ int, _ *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewClient(nil).Send(ctx, s.server(), newRequest("1"))
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) || sendErr.Reason != outcome.CallerLeft {
		t.Errorf("got %v, want reason CallerLeft", err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection was not closed within 2 s of the end of the context")
	}
}

// TestMissingHeaderTimesOut has a server read a request and send no response. The request
// must fail at its HeaderDeadline.
func TestMissingHeaderTimesOut(t *testing.T) {
	s := startServer(t, func(_ int, _ *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
	})
	r := newRequest("1")
	r.HeaderDeadline = time.Now().Add(50 * time.Millisecond)
	_, err := NewClient(nil).Send(context.Background(), s.server(), r)
	var sendErr *engineclient.SendError
	if !errors.As(err, &sendErr) || sendErr.Reason != outcome.ServerTimeout || sendErr.NotStarted {
		t.Errorf("got %v, want reason ServerTimeout and NotStarted false", err)
	}
}

// TestConnectionClosedByServerIsNotReused has a server close an idle connection before
// the next request. That request must get its response over a new connection.
func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, responseText(id, "of "+id))
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2"} {
		if got := fetch(t, c, s.server(), id); got != "of "+id {
			t.Errorf("got the response %q, want the response to the request just sent", got)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestIdleConnectionsOfRemovedServersAreClosed calls CloseIdle with a keep function that
// returns false. The idle connection must be closed.
func TestIdleConnectionsOfRemovedServersAreClosed(t *testing.T) {
	ended := make(chan struct{}, 1)
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, responseText(id, "x"))
		_, _ = r.ReadByte()
		ended <- struct{}{}
	})
	c := NewClient(nil)
	fetch(t, c, s.server(), "1")
	c.CloseIdle(func(string) bool { return false })
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("an idle connection to a removed server was not closed within 2 s")
	}
}

// TestIdleTimeoutFromHeader checks the idle timeout for several Keep-Alive headers. A
// header without a usable timeout must give defaultIdleTimeout.
func TestIdleTimeoutFromHeader(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                  defaultIdleTimeout,
		"timeout=10":        10*time.Second - idleMargin,
		"max=5, timeout=3":  3*time.Second - idleMargin,
		"timeout=0":         defaultIdleTimeout,
		"timeout=nonsense":  defaultIdleTimeout,
		"Timeout=1, max=10": time.Second - idleMargin,
	} {
		if got := idleTimeoutFrom(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("Keep-Alive header %q: got idle timeout %v, want %v", text, got, want)
		}
	}
}

// TestOnlyConnectionsThatStayOpenAreStatedAsKept guards against counting on the connection of a
// response that was not read to its end.
func TestOnlyConnectionsThatStayOpenAreStatedAsKept(t *testing.T) {
	s := startServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		_, _ = io.WriteString(c, responseText(readRequest(r), "x"))
		_, _ = r.ReadByte()
	})
	c := NewClient(nil)
	for read, want := range map[bool]time.Duration{true: 10*time.Second - idleMargin, false: 0} {
		resp, err := c.Send(context.Background(), s.server(), newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		if read {
			_, _ = io.Copy(io.Discard, resp)
		}
		resp.Close()
		if got := resp.ConnectionKept(); got != want {
			t.Errorf("response read to its end: %v, connection kept for %v, want %v", read, got, want)
		}
		c.CloseIdle(func(string) bool { return false })
	}
}
