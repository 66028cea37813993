package callerconn

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/memoryaccount"
)

// connection is a connection of a caller. A kept connection may be ended while it is
// idle, but not while a request on it is being read. Only the goroutine that reads from the
// connection knows whether a request has begun. So the connection is never closed from
// outside: expire makes the pending read of an idle connection fail, and a read that
// returned a byte before cancels this. The http.Server closes the connection when the read
// has failed.
type connection struct {
	net.Conn

	mu    sync.Mutex
	phase phase
	// idleSince is when the connection became idle. It is zero in a connection that has
	// not carried a request yet.
	idleSince time.Time
	// requestSince is when the first byte of the request that is being read or served was read,
	// or when that request followed the one before if it came together with it.
	requestSince time.Time
	// expiring is set while the read deadline is the one that expire has set, and not
	// readDeadline, the last one that the http.Server has set.
	expiring     bool
	readDeadline time.Time

	// tracker holds the bounds. It is nil in tests that use no tracker.
	tracker *Tracker
	address netip.Addr
	// opened is when the connection was accepted, and lastBytes when bytes of the current
	// request were last read.
	opened, lastBytes time.Time
	// head counts the head of the current request while it is read. bodyOpen is set while the
	// body of the request is read.
	head headCounter
	// served is set from when the head was read until the end of the response.
	served   bool
	bodyOpen bool
	// writingSince is when the write that is pending began, or zero if none is.
	writingSince time.Time
	// memory is what the connection holds, and headMemory what the head of its request takes
	// beyond the usual. They are nil if nothing is counted.
	memory, headMemory *memoryaccount.Reservation
}

// phase is what a connection is used for.
type phase uint8

const (
	// awaitingRequest means that no byte of the next request was read.
	awaitingRequest phase = iota
	// inRequest lasts from the first byte of a request to the end of its response.
	inRequest
)

// firstBytesTimeout bounds the time from the first byte of a request on a kept connection to
// the fourth. From then on, the http.Server's own timeout for the header holds. A caller sends
// these bytes at once.
const firstBytesTimeout = time.Second

// Read implements net.Conn. A byte that arrives on an idle connection begins a request.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordBytes()
		if refusal := c.countHead(p[:n]); refusal != "" {
			c.refuseHead(refusal)
			// The http.Server closes the connection without a response of its own.
			return 0, io.EOF
		}
	}
	return n, err
}

// recordBytes records that bytes were read. The first ones of a request begin it and set the
// read deadline for those after them.
func (c *connection) recordBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastBytes = time.Now()
	if c.phase == inRequest {
		return
	}
	c.phase, c.expiring, c.requestSince = inRequest, false, c.lastBytes
	deadline := c.readDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(firstBytesTimeout)
	}
	// The error is ignored: if the connection is broken, the next read fails too.
	_ = c.Conn.SetReadDeadline(deadline)
}

// beginServing records that the http.Server has read the header of a request. If it came
// together with the request before, no byte was read for it.
func (c *connection) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != inRequest {
		c.phase, c.requestSince = inRequest, time.Now()
	}
	c.served = true
	if c.expiring {
		c.expiring = false
		// The error is ignored: if the connection is broken, the next read fails too.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// endRequest records that the response has ended.
func (c *connection) endRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince = awaitingRequest, now
	c.served, c.bodyOpen, c.head = false, false, headCounter{}
	c.releaseHead()
}

// SetReadDeadline implements net.Conn. While the connection expires, the deadline takes
// effect only if a request begins after all.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expiring {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite is used by the http.Server when it ends a connection with unread bytes.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// expire ends the connection at the given time, unless a byte of a request is read before.
func (c *connection) expire(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaitingRequest || c.expiring {
		return
	}
	c.expiring = true
	// The error is ignored: a broken connection ends by itself.
	_ = c.Conn.SetReadDeadline(at)
}

// idleFor returns how long the connection has been idle. It returns false if a request is
// being served, or if the connection has not carried a request yet.
func (c *connection) idleFor(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaitingRequest || c.idleSince.IsZero() {
		return 0, false
	}
	return now.Sub(c.idleSince), true
}

// requestBegan returns when the request that is being served began to arrive.
func (c *connection) requestBegan() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestSince
}

// inRequest reports whether a request is being read or served.
func (c *connection) inRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == inRequest
}
