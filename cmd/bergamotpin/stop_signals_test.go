package main

import (
	"syscall"
	"testing"
	"time"
)

// signalSelf sends a signal to this process, and waits until it was delivered.
func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), s); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
}

// TestRepeatedStopSignalLeavesTheGrace guards against a second SIGTERM that ends a process which still answers open requests.
func TestRepeatedStopSignalLeavesTheGrace(t *testing.T) {
	ended := make(chan struct{}, 1)
	ctx := stopSignals(t.Context(), func() { ended <- struct{}{} })
	// Without a handler, the second and third signal end this process, and the test fails.
	for range 3 {
		signalSelf(t, syscall.SIGTERM)
	}
	if ctx.Err() == nil {
		t.Error("the context goes on after SIGTERM")
	}
	signalSelf(t, syscall.SIGINT)
	if len(ended) != 0 {
		t.Error("a first SIGINT after SIGTERM ended the process at once")
	}
	signalSelf(t, syscall.SIGINT)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("a second SIGINT did not end the process at once")
	}
}
