package backendclient

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// unstatedIdle is how long a connection is kept to a server that states no
	// time: such servers close after less than a second.
	unstatedIdle = 400 * time.Millisecond
	// idleMargin is how long before the server's own timeout a connection is
	// closed.
	idleMargin = 700 * time.Millisecond
	// statedHeader is where servers state how long they keep a connection.
	statedHeader = "Keep-Alive"
)

// connection carries one request at a time.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
	// idleSince is when its last answer ended, and keep is for how long after
	// that it may be used again.
	idleSince time.Time
	keep      time.Duration
	used      bool
}

func newConnection(c net.Conn) *connection {
	return &connection{net: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// quiet reports whether the connection stands and nothing came that nobody
// asked for.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// keepFor reads from an answer for how long the connection may stay unused.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get(statedHeader), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 1 {
			return unstatedIdle
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return unstatedIdle
}
