package edge

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestRequestOpenAtEndOfGracePeriodIsAnswered stops an instance while a server hangs. The
// caller, who has got nothing yet, must get a failure rather than a closed connection.
func TestRequestOpenAtEndOfGracePeriodIsAnswered(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Hang: true})
	store.Put("config", "main", configurationText(1))
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 2)
	await(t, "ready", i.isReady)
	time.AfterFunc(200*time.Millisecond, i.stop)
	resp, err := i.send(t, "hung")
	if err != nil {
		t.Fatalf("got the error %v, want a response that says that the request failed", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 502 && resp.StatusCode != 504 {
		t.Errorf("got status %d, want 502 or 504, which don't promise that the request did not run", resp.StatusCode)
	}
	<-i.done
}
