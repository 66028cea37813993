package limitstest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 160
	// missingBytes is how much of a body that stops short is missing.
	missingBytes = 1000
	// pieceBytes is the size of the large pieces of chunked bodies.
	pieceBytes = 64 << 10
	// sendTimeout is how long a caller of the crowd goes on sending if nobody reads.
	sendTimeout = 10 * time.Second
	// endlessBytes is how much is sent of what has no end.
	endlessBytes = 2 << 20
	// settleTime is how long the process has for what its sockets hold before its memory is
	// read. On a slow machine it may have read less by then, and the peak is smaller.
	settleTime = 500 * time.Millisecond
)

// play opens the connections of a crowd and has send write to each of them. The connections stay
// open until the end of the test, unless the process closes them. play returns when all are
// done with sending, or can't go on.
func (i *instance) play(t *testing.T, size int, send func(to io.Writer, n int) error) {
	t.Helper()
	var sending sync.WaitGroup
	for n := range size {
		conn := i.connect(t)
		if conn == nil {
			continue
		}
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			// The error is ignored: the process may refuse the caller or close the connection.
			_ = send(conn, n)
		})
	}
	sending.Wait()
	time.Sleep(settleTime)
}

// connect opens a connection of the crowd. It returns nil if the process takes no further one.
func (i *instance) connect(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdIP)}, Timeout: sendTimeout, Control: smallReceiveBuffer}
	conn, err := dialer.Dial("tcp4", i.callers)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// smallReceiveBuffer keeps the kernel from taking what a caller of the crowd doesn't read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// The error is ignored: a larger buffer only makes the crowd more harmless.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// head returns the head of a request with the given further fields, without the empty line.
func head(path string, n int, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s1 HTTP/1.1\r\nHost: h.example\r\n%s: crowd-%d\r\n%s: 60000\r\n%s: key-of-crowd\r\n",
		path, platform.HeaderRequestID, n, platform.HeaderDeadline, platform.HeaderAPIKey)
	for _, field := range fields {
		b.WriteString(field + "\r\n")
	}
	return b.String()
}

// writeAll writes the texts one after the other.
func writeAll(to io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(to, text); err != nil {
			return err
		}
	}
	return nil
}

// repeat writes text until the given number of bytes was written.
func repeat(to io.Writer, text string, bytes int) error {
	block := strings.Repeat(text, max(pieceBytes/len(text), 1))
	for sent := 0; sent < bytes; sent += len(block) {
		if _, err := io.WriteString(to, block); err != nil {
			return err
		}
	}
	return nil
}

// chunks returns the given number of bytes of a chunked body, in chunks of the given size. The
// chunk that ends the body is missing.
func chunks(bytes, size int) string {
	var b strings.Builder
	for ; bytes > 0; bytes -= size {
		size = min(size, bytes)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	return b.String()
}
