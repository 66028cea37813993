package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// rawCaller is a caller that writes the bytes of its requests itself.
type rawCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func newRawCaller(t *testing.T, address string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// nextRequest returns the bytes of a valid request without a body.
func (c *rawCaller) nextRequest() string {
	c.sent++
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: raw-%d\r\n\r\n", platformtest.PathSafe, platformtest.Host, platform.HeaderRequestID, c.sent)
}

func (c *rawCaller) write(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Errorf("write to the instance: %v", err)
	}
}

// expectAnswer reads one response, expects the given status and reports whether the
// response announces the end of the connection.
func (c *rawCaller) expectAnswer(label string, status int) (lastOne bool) {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("%s: got no response: %v", label, err)
	}
	defer resp.Body.Close()
	body := make([]byte, 256)
	n, _ := resp.Body.Read(body)
	if resp.StatusCode != status {
		c.t.Errorf("%s: got status %d with %q, want %d", label, resp.StatusCode, body[:n], status)
	}
	return resp.Close
}

// expectEnd expects that the instance closes the connection without another byte.
func (c *rawCaller) expectEnd(label string, within time.Duration) {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		c.t.Fatal(err)
	}
	_, err := c.reader.ReadByte()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Errorf("%s: got error %v, want the end of the connection", label, err)
	}
}

// startServing starts an instance with a configuration and a backend server.
func startServing(t *testing.T, graceSeconds int) (*testInstance, *platformtest.BackendServer) {
	t.Helper()
	store, server := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, graceSeconds)
	await(t, "ready", i.isReady)
	return i, server
}

func (r *testInstance) callersAddress() string { return r.settings.Load().CallersAddress.String() }

// awaitFirstBytes gives the instance time to read the bytes that were just written.
func awaitFirstBytes() { time.Sleep(100 * time.Millisecond) }

// TestIdleTimeoutDoesNotCloseConnectionWhoseRequestIsBeingRead guards against a request that ends without an answer because
// its kept connection counted as idle until the whole header was read.
func TestIdleTimeoutDoesNotCloseConnectionWhoseRequestIsBeingRead(t *testing.T) {
	i, _ := startServing(t, 3)
	caller := newRawCaller(t, i.callersAddress())
	caller.write(caller.nextRequest())
	caller.expectAnswer("first request", http.StatusOK)
	next := caller.nextRequest()
	caller.write(next[:20])
	awaitFirstBytes()
	// A change of the configuration that shortens the idle timeout has this effect.
	i.closeIdleCallers(time.Millisecond, time.Now().Add(time.Minute))
	caller.write(next[20:])
	caller.expectAnswer("request that was being read", http.StatusOK)
}

// TestIdleTimeoutClosesIdleConnection guards against connections that stay open for ever.
func TestIdleTimeoutClosesIdleConnection(t *testing.T) {
	i, _ := startServing(t, 3)
	caller := newRawCaller(t, i.callersAddress())
	caller.write(caller.nextRequest())
	caller.expectAnswer("first request", http.StatusOK)
	awaitFirstBytes()
	i.closeIdleCallers(time.Millisecond, time.Now().Add(time.Minute))
	caller.expectEnd("idle connection", 2*time.Second)
}

// TestStopDoesNotCloseConnectionWhoseRequestIsBeingRead guards against a request that ends without an answer because a stop
// closed its kept connection as idle.
func TestStopDoesNotCloseConnectionWhoseRequestIsBeingRead(t *testing.T) {
	i, _ := startServing(t, 3)
	caller := newRawCaller(t, i.callersAddress())
	caller.write(caller.nextRequest())
	caller.expectAnswer("first request", http.StatusOK)
	next := caller.nextRequest()
	caller.write(next[:20])
	awaitFirstBytes()
	i.stop()
	await(t, "no longer ready", func() bool { return !i.isReady() })
	caller.write(next[20:])
	caller.expectAnswer("request that was being read", http.StatusOK)
}

// TestResponseThatBeginsAfterStopAnnouncesEndOfConnection guards against callers that send their next request on a
// connection that the stopping instance is about to close.
func TestResponseThatBeginsAfterStopAnnouncesEndOfConnection(t *testing.T) {
	i, server := startServing(t, 3)
	server.SetBehaviour(platformtest.Behaviour{Delay: 200 * time.Millisecond})
	caller := newRawCaller(t, i.callersAddress())
	caller.write(caller.nextRequest())
	await(t, "the request is at the server", func() bool { return len(server.Received()) > 0 })
	i.stop()
	if lastOne := caller.expectAnswer("request before the stop", http.StatusOK); !lastOne {
		t.Error("the response does not announce the end of the connection, want it to")
	}
}

// TestEndOfStopWaitsForRequestThatIsBeingRead guards against a stop that counts requests only from the end of their header on.
func TestEndOfStopWaitsForRequestThatIsBeingRead(t *testing.T) {
	i, _ := startServing(t, 3)
	caller := newRawCaller(t, i.callersAddress())
	request := caller.nextRequest()
	caller.write(request[:20])
	awaitFirstBytes()
	i.stop()
	// The instance stops accepting connections a third of its grace period after the stop.
	time.Sleep(1200 * time.Millisecond)
	caller.write(request[20:])
	caller.expectAnswer("request that was being read", http.StatusOK)
}

// TestRequestThatComesWholeLateInStopIsNotBegun guards against a request that may run only once,
// begins to arrive in time, is whole only near the end of the grace period, and is then passed on
// and cut: it could still have been refused as one that did not run.
func TestRequestThatComesWholeLateInStopIsNotBegun(t *testing.T) {
	const graceSeconds = 6
	i, server := startServing(t, graceSeconds)
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept connection %t", kept), func(t *testing.T) {
			caller := newRawCaller(t, i.callersAddress())
			if kept {
				caller.write(caller.nextRequest())
				caller.expectAnswer("request before", http.StatusOK)
			}
			id := fmt.Sprintf("late-%t", kept)
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				platformtest.PathUnsafe, platformtest.Host, platform.HeaderRequestID, id)
			t.Parallel()
			server.SetBehaviour(platformtest.Behaviour{Delay: 1300 * time.Millisecond})
			caller.write(request[:20])
			awaitFirstBytes()
			i.stop()
			// The instance cuts what is open 5.3 s after the stop.
			time.Sleep(4200 * time.Millisecond)
			caller.write(request[20:])
			caller.expectAnswer("request that came whole late", http.StatusServiceUnavailable)
			for _, r := range server.Received() {
				if r.Header.Get(platform.HeaderRequestID) == id {
					t.Error("the server got the request, want it refused as one that did not run")
				}
			}
		})
	}
}

// TestStopEndsUnusedConnections guards against a stop that waits for callers that send nothing.
func TestStopEndsUnusedConnections(t *testing.T) {
	i, _ := startServing(t, 6)
	caller := newRawCaller(t, i.callersAddress())
	awaitFirstBytes()
	i.stop()
	select {
	case <-i.done:
	case <-time.After(4 * time.Second):
		t.Error("the instance did not stop within 4 s, want it not to wait for an unused connection")
	}
	caller.expectEnd("unused connection", time.Second)
}

// TestIdleConnectionOutlivesTheBeginOfAStop guards against requests that cross the closing of their idle connection: the
// next request within the time in which the platform still opens connections is answered, and ends the connection.
func TestIdleConnectionOutlivesTheBeginOfAStop(t *testing.T) {
	i, _ := startServing(t, 3)
	caller := newRawCaller(t, i.callersAddress())
	caller.write(caller.nextRequest())
	caller.expectAnswer("request before the stop", http.StatusOK)
	i.stop()
	await(t, "no longer ready", func() bool { return !i.isReady() })
	// The instance accepts connections for a third of its grace period.
	time.Sleep(300 * time.Millisecond)
	caller.write(caller.nextRequest())
	if lastOne := caller.expectAnswer("request after the stop", http.StatusOK); !lastOne {
		t.Error("the response does not announce the end of the connection, want it to")
	}
}
