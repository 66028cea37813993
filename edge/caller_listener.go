package edge

import (
	"context"
	"net"
	"net/netip"
	"syscall"
)

// callerBufferBytes is the size of the kernel's buffers of a caller's connection, for what was
// received and not read, and for what was written and not taken. Without it the kernel lets them
// grow to megabytes each, which count as the machine's memory but not in any account. What the
// buffers can't take waits at the sender.
const callerBufferBytes = 128 << 10

// listenForCallers opens the callers' listener. Its connections have buffers of a bounded size.
func listenForCallers(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: boundBuffers}
	return config.Listen(context.Background(), "tcp4", address.String())
}

// boundBuffers sets the size of a listener's buffers, which its connections take over.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// The errors are ignored: a system that can't bound the buffers still serves.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, callerBufferBytes)
	})
}
