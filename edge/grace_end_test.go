package edge

import (
	"context"
	"io"
	"strings"
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

// TestFailedListenerDoesNotCutOpenRequests guards against an instance that closes all callers' connections at once
// because the listener of the readiness check has failed.
func TestFailedListenerDoesNotCutOpenRequests(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 10, EventPause: 50 * time.Millisecond})
	store.Put("config", "main", configurationText(1))
	i := &testInstance{settingsPath: writeSettings(t, settingsText(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3))}
	started, err := Start(Options{SettingsPath: i.settingsPath, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	i.Instance = started
	ended := make(chan error, 1)
	go func() { ended <- i.Run(context.Background(), nil) }()
	await(t, "ready", i.isReady)
	resp, err := i.send(t, "open")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_ = i.readyListener.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), "id: 10\n") {
		t.Errorf("the open stream was cut: got error %v after %d bytes, want all events up to ID 10", err, len(body))
	}
	if err := <-ended; err == nil {
		t.Error("Run returned no error, want that of the listener")
	}
}
