package callerconn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// lateListener returns one connection from Accept after it was closed.
type lateListener struct {
	net.Listener
	conn    net.Conn
	release chan struct{}
	closed  chan struct{}
	given   bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	if !l.given {
		l.given = true
		<-l.release
		return l.conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error { close(l.closed); return nil }

// TestConnectionAcceptedBesideStopIsClosedIfUnused guards against a stop that waits for a connection that was being accepted
// when the unused ones were closed.
func TestConnectionAcceptedBesideStopIsClosedIfUnused(t *testing.T) {
	caller, accepted := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	tracker := New()
	l := &lateListener{conn: accepted, release: make(chan struct{}), closed: make(chan struct{})}
	server := &http.Server{ConnState: tracker.TrackState, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(tracker.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	tracker.CloseWhenIdle()
	tracker.CloseUnused()
	close(l.release)
	if err := caller.SetReadDeadline(time.Now().Add(8 * unusedGrace)); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got error %v, want the end of the connection", err)
	}
}
