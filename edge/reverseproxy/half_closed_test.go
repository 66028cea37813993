package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestHalfClosedCallerGetsNoEmptySuccess guards against a caller that has closed only its sending side and gets an empty 200
// that no server gave.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Delay: 300 * time.Millisecond})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: half\r\n%s: key\r\n\r\n", pathSafe, platformtest.Host, platform.HeaderRequestID, platform.HeaderAPIKey)
	time.Sleep(100 * time.Millisecond)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && resp.Header.Get(platform.HeaderServerStamp) == "" {
		t.Errorf("got status 200 with body %q and no server stamp, want the server's response or the end of the connection", body)
	}
}
