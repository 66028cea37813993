package callerconn

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bergamotpin.example/bergamotpin/memoryaccount"
)

// refusalTimeout bounds how long a refused caller may take the response.
const refusalTimeout = 100 * time.Millisecond

// writePieceBytes is the size of the pieces in which a response is written.
const writePieceBytes = 64 << 10

// Refusals of heads. Nothing of the request was handled, so a 503 tells the truth.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headShort    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// addressOf returns the address of a connection's caller. It is not valid if the connection is
// none of TCP, as in tests.
func addressOf(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// hasRoom reports whether a connection may be opened. If there are too many, it has some of them
// end. The lock must be held.
func (t *Tracker) hasRoom(caller *connection) bool {
	b := &t.bounds
	if b.ConnectionsPerAddress > 0 && t.byAddress[caller.address] >= b.ConnectionsPerAddress {
		t.refusals.Address++
		return false
	}
	if b.Connections == 0 || len(t.open) < b.Connections {
		return true
	}
	t.endStill(caller.opened)
	if len(t.open) < b.Connections+endingConnections {
		return true
	}
	t.refusals.Total++
	return false
}

// endStill ends connections on which nothing happens, to make room for others. The lock must be
// held.
func (t *Tracker) endStill(now time.Time) {
	if now.Sub(t.roomAt) < roomInterval {
		return
	}
	t.roomAt = now
	callers := make([]*connection, 0, len(t.open))
	occupants := make([]occupant, 0, len(t.open))
	for caller := range t.open {
		callers = append(callers, caller)
		occupants = append(occupants, caller.occupant(now))
	}
	for _, n := range makeRoom(occupants, endingConnections) {
		if callers[n].makeRoom(now) {
			t.refusals.MadeRoom++
		}
	}
}

// Refusals returns what was refused since the start.
func (t *Tracker) Refusals() Refusals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals
}

// occupant returns what the connection is used for.
func (c *connection) occupant(now time.Time) occupant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.occupantNow(now)
}

// occupantNow is occupant while the lock is held.
func (c *connection) occupantNow(now time.Time) occupant {
	o := occupant{address: c.address, use: c.use()}
	switch o.use {
	case unused:
		o.still = now.Sub(c.opened)
	case idle:
		o.still = now.Sub(c.idleSince)
	case readingHead:
		o.still = now.Sub(c.requestSince)
	case readingBody:
		o.still = now.Sub(c.lastBytes)
	case writing:
		o.still = now.Sub(c.writingSince)
	}
	return o
}

// use returns what the connection is used for. The lock must be held.
func (c *connection) use() use {
	switch {
	case c.phase == awaitingRequest && c.idleSince.IsZero():
		return unused
	case c.phase == awaitingRequest:
		return idle
	case !c.served:
		return readingHead
	case c.bodyOpen:
		return readingBody
	case !c.writingSince.IsZero():
		return writing
	}
	return serving
}

// makeRoom ends the connection so that others find room. It returns false if the connection is
// ending already, or if it may no longer make room: something may have happened since it was chosen.
func (c *connection) makeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.occupantNow(now)
	if c.expiring || !o.mayMakeRoom() {
		return false
	}
	// The errors are ignored: a broken connection ends by itself.
	switch o.use {
	case writing:
		_ = c.Conn.SetWriteDeadline(now)
		return true
	case idle, unused:
		// A request that has arrived by then is read.
		_ = c.Conn.SetReadDeadline(now.Add(idleGrace))
	default:
		_ = c.Conn.SetReadDeadline(now)
	}
	c.expiring = true
	return true
}

// Write implements net.Conn. It writes in pieces, so that it is known when the caller took
// something last.
func (c *connection) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePieceBytes, len(p))]
		c.setWriting(time.Now())
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			c.setWriting(time.Time{})
			return written, err
		}
	}
}

func (c *connection) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// countHead counts bytes of a head. It returns the refusal of the request, or "" if the head may
// be read on.
func (c *connection) countHead(p []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker == nil || c.served || c.head.ended {
		return ""
	}
	before := c.head.cost()
	c.head.add(p)
	b := &c.tracker.bounds
	if b.HeadBytes != nil {
		if limit := b.HeadBytes(); limit > 0 && c.head.bytes > limit {
			return headTooLarge
		}
	}
	more := c.head.cost() - max(before, freeHeadCost)
	if b.Account == nil || more <= 0 {
		return ""
	}
	if c.headMemory == nil {
		c.headMemory = b.Account.Reserve(memoryaccount.Heads, memoryaccount.Party{Address: c.address})
	}
	if !c.headMemory.TryGrow(more) {
		return headShort
	}
	return ""
}

// refuseHead writes the refusal of a request whose head is being read. Any response before it was
// written, since the http.Server reads no further head before.
func (c *connection) refuseHead(refusal string) {
	c.tracker.mu.Lock()
	if refusal == headTooLarge {
		c.tracker.refusals.HeadTooLarge++
	} else {
		c.tracker.refusals.HeadShort++
	}
	c.tracker.mu.Unlock()
	// The errors are ignored: a caller that can't be told finds the connection closed.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(refusal))
	_ = c.CloseWrite()
}

// releaseHead gives the memory of the head back. The lock must be held.
func (c *connection) releaseHead() {
	if c.headMemory != nil {
		c.headMemory.Release()
		c.headMemory = nil
	}
}

// release gives all memory of the connection back.
func (c *connection) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	if c.memory != nil {
		c.memory.Release()
		c.memory = nil
	}
}

// OpenBody records that the body of a request is being read, given the request's context. From
// then on the connection may be ended for others if no byte comes.
func OpenBody(ctx context.Context) {
	if caller, ok := ctx.Value(connectionKey{}).(*connection); ok {
		caller.mu.Lock()
		defer caller.mu.Unlock()
		caller.bodyOpen = true
	}
}

// CloseBody records that the body of a request was read. It returns false if the connection was
// ended for others meanwhile: the request must then not be passed on.
func CloseBody(ctx context.Context) bool {
	caller, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return true
	}
	caller.mu.Lock()
	defer caller.mu.Unlock()
	caller.bodyOpen = false
	return !caller.expiring
}

// Address returns the address of a request's caller, given the request's context. It is not valid
// if the request came over a connection that no Tracker holds.
func Address(r *http.Request) netip.Addr {
	if caller, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return caller.address
	}
	return netip.Addr{}
}
