package edge

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

// acceptedUnread returns how many bytes a caller can send to a connection of l that nobody reads
// any longer, after it was read for a while.
func acceptedUnread(t *testing.T, l net.Listener) int {
	t.Helper()
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	_ = caller.(*net.TCPConn).SetWriteBuffer(16 << 10)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	const readBytes = 32 << 20
	block, read := make([]byte, 64<<10), make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.CopyN(io.Discard, accepted, readBytes)
	}()
	for sent := 0; sent < readBytes; sent += len(block) {
		if _, err := caller.Write(block); err != nil {
			t.Fatal(err)
		}
	}
	<-read
	unread := 0
	for {
		_ = caller.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := caller.Write(block)
		unread += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return unread
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestBytesThatAreNotReadAreBounded guards against buffers of the kernel that grow for callers whose
// requests are not read.
func TestBytesThatAreNotReadAreBounded(t *testing.T) {
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded, err := listenForCallers(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	without, with := acceptedUnread(t, plain), acceptedUnread(t, bounded)
	t.Logf("unread: %d bytes, and %d without the bound", with, without)
	if with > 4*callerBufferBytes {
		t.Errorf("a caller sent %d bytes that nobody reads, want at most %d", with, 4*callerBufferBytes)
	}
}
