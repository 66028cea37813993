package backendclient

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSilentSoundServerLosesItsConnections guards against a socket whose time-out ends
// connections to a sound server that is silent for a second or so. TCP_USER_TIMEOUT also
// decides when keep-alive probes give up, whatever their count.
func TestSilentSoundServerLosesItsConnections(t *testing.T) {
	const soundSilence = 2 * time.Second
	s := startServer(t, func(_ int, _ *net.TCPConn, r *bufio.Reader) { readRequest(r) })
	conn, err := dialTCP(context.Background(), "tcp", s.server().Address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	var optionErr error
	if err := raw.Control(func(fd uintptr) { ms, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	if got := time.Duration(ms) * time.Millisecond; got != 0 && got < soundSilence {
		t.Errorf("a connection ends after %v without an acknowledgement, want %v or more", got, soundSilence)
	}
}
