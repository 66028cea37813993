package callerconn

import (
	"net"
	"testing"
	"time"
)

// TestRequestThatBeginsMakesNoRoom guards against the end of a request that has begun, or of a
// response that is taken, because nothing happened on its connection a moment before.
func TestRequestThatBeginsMakesNoRoom(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]*connection{
		"head":     {phase: inRequest, requestSince: now, lastBytes: now},
		"body":     {phase: inRequest, served: true, bodyOpen: true, requestSince: now, lastBytes: now},
		"response": {phase: inRequest, served: true, writingSince: now},
	} {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		defer ours.Close()
		c.Conn, c.opened, c.idleSince = ours, now.Add(-time.Hour), now.Add(-time.Hour)
		if c.makeRoom(now) || c.expiring {
			t.Errorf("%s: the connection was ended though bytes have just passed", name)
		}
	}
}

// TestBytesOnTheWayAreRead guards against an idle connection that is closed for others although its
// next request has arrived and was not read yet.
func TestBytesOnTheWayAreRead(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	now := time.Now()
	c := &connection{Conn: ours, opened: now.Add(-time.Hour), idleSince: now.Add(-time.Hour)}
	if !c.makeRoom(now) {
		t.Fatal("an idle connection makes no room")
	}
	go func() { _, _ = theirs.Write([]byte("G")) }()
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes, error %v; want the byte that had come", n, err)
	}
	if c.expiring {
		t.Error("the connection still ends after its next request has begun")
	}
}
