package backendclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the server states
	// no idle timeout. It is short, because a backend server that states no idle timeout
	// may close an idle connection after less than a second.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is how long before the server's own idle timeout an idle connection
	// is closed.
	idleMargin = 700 * time.Millisecond
	// keepAliveHeader is the header in which servers state their idle timeout.
	keepAliveHeader = "Keep-Alive"
)

// connection carries one request at a time.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
	// limit bounds how much reader reads while the header of a response is due.
	limit *readLimit
	// idleSince is when the last response ended. After that, the connection may be
	// reused for the duration idleTimeout.
	idleSince   time.Time
	idleTimeout time.Duration
	reused      bool
	// answered is set once a final response was read from the connection.
	answered bool
}

func newConnection(c net.Conn) *connection {
	limit := &readLimit{reader: c, remaining: unlimited}
	return &connection{net: c, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// unlimited is the value of readLimit.remaining at which reads are not limited.
const unlimited = -1

// readLimit reads from a connection. While a header is due, it fails once remaining bytes or
// more than maxHeaderLines lines were read. What comes with the end of the header is not
// affected: nothing more is read for the header then.
type readLimit struct {
	reader    io.Reader
	remaining int
	lines     int
}

// beginHeader limits the reads until endHeader is called.
func (l *readLimit) beginHeader() { l.remaining, l.lines = maxHeaderBytes, 0 }

func (l *readLimit) endHeader() { l.remaining = unlimited }

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.reader.Read(p)
	}
	if l.remaining == 0 || l.lines > maxHeaderLines {
		return 0, errHeaderTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.lines += bytes.Count(p[:n], newline)
	return n, err
}

var newline = []byte("\n")

// isOpenAndEmpty reports whether the connection is open and has no unread bytes.
// Unread bytes between two requests are unexpected.
func (c *connection) isOpenAndEmpty() bool {
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

// idleTimeoutFrom returns how long a connection may stay idle and be reused, according
// to the header of the last response.
func idleTimeoutFrom(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get(keepAliveHeader), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 1 {
			return defaultIdleTimeout
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTimeout
}
