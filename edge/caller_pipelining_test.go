package edge

import (
	"net/http"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestStopDoesNotCancelRequestThatArrivedWithTheOneBefore guards against a request that is passed on and gets an empty answer,
// because its connection counts as idle while it is served.
func TestStopDoesNotCancelRequestThatArrivedWithTheOneBefore(t *testing.T) {
	i, server := startServing(t, 6)
	server.SetBehaviour(platformtest.Behaviour{Delay: 200 * time.Millisecond})
	caller := newRawCaller(t, i.callersAddress())
	caller.write(caller.nextRequest() + caller.nextRequest())
	caller.expectAnswer("first request", http.StatusOK)
	await(t, "the second request is at the server", func() bool { return len(server.Received()) > 1 })
	i.stop()
	resp, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		t.Fatalf("second request: got no response: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.ContentLength == 0 {
		t.Errorf("second request: got status %d with a body of %d bytes, want 200 with the server's body", resp.StatusCode, resp.ContentLength)
	}
	if n := server.Cancelled(); n > 0 {
		t.Errorf("%d requests were cancelled at the server, want 0", n)
	}
}
