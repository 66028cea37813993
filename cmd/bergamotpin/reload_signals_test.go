package main

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// TestReloadSignalEndsStoppingInstance guards against a SIGHUP that ends an instance which was
// told to stop and still answers open requests.
func TestReloadSignalEndsStoppingInstance(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	reloadSignals(ctx)
	cancel()
	time.Sleep(50 * time.Millisecond)
	// Without a handler, the signal ends this process, and the test fails.
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}
