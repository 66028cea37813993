package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestLateRequestOnKeptConnectionIsCutByStop guards against a request that a stopping instance
// begins although it can't outlive it: one that crosses the end of a stream from before the stop.
func TestLateRequestOnKeptConnectionIsCutByStop(t *testing.T) {
	store, server := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	const graceSeconds = 6
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, graceSeconds)
	await(t, "ready", i.isReady)
	conn, err := net.Dial("tcp", i.settings.Load().CallersAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := func(id string) {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", platformtest.PathStream, platformtest.Host, platform.HeaderRequestID, id)
	}
	reader := bufio.NewReader(conn)
	answer := func() (status int, err error) {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	server.SetBehaviour(platformtest.Behaviour{Events: 32, EventPause: 100 * time.Millisecond})
	request("from before")
	// The header of the first response must be written before the stop.
	if _, err := reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	i.stop()
	time.Sleep(unreadyDelay + 200*time.Millisecond)
	server.SetBehaviour(platformtest.Behaviour{Events: 100, EventPause: 100 * time.Millisecond})
	request("crosses its end")
	if status, err := answer(); err != nil || status != http.StatusOK {
		t.Fatalf("the stream from before the stop: status %d, error %v", status, err)
	}
	if status, err := answer(); err != nil {
		t.Errorf("the request after it: status %d, error %v; want a whole answer or a refusal", status, err)
	}
	<-i.done
}
