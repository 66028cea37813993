package reachability

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
)

// newMonitor returns a monitor of 20 servers, of which the first so many accept connections.
func newMonitor(t *testing.T, accepting *atomic.Int32) *Monitor {
	t.Helper()
	m := New(Options{
		Servers: func() []backendclient.Server {
			servers := make([]backendclient.Server, 20)
			for n := range servers {
				servers[n].MaxConnections = n
			}
			return servers
		},
		Connect:  func(_ context.Context, s backendclient.Server) bool { return s.MaxConnections < int(accepting.Load()) },
		OnChange: func() {}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(m.Close)
	return m
}

// TestInstanceIsCutOffOnlyWithoutAnyServer guards against taking the failure of some servers for
// the loss of this instance's paths, and against a loss that isn't noticed or doesn't end.
func TestInstanceIsCutOffOnlyWithoutAnyServer(t *testing.T) {
	for _, some := range []int32{8, 12, 20} {
		t.Run(fmt.Sprint(some), func(t *testing.T) {
			var accepting atomic.Int32
			accepting.Store(some)
			m := newMonitor(t, &accepting)
			m.Suspect()
			if m.Verdict(context.Background()) {
				t.Errorf("cut off although %d of 20 servers accept connections", some)
			}
			accepting.Store(0)
			time.Sleep(minCheckInterval)
			m.Suspect()
			if !m.Verdict(context.Background()) {
				t.Fatal("not cut off although no server accepts connections")
			}
			accepting.Store(20)
			end := time.Now().Add(time.Second)
			for m.CutOff() && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			if m.CutOff() {
				t.Error("still cut off a second after all servers accept connections")
			}
		})
	}
}

// TestConnectionJustMadeEndsSuspicion guards against tries beside traffic that gets through.
func TestConnectionJustMadeEndsSuspicion(t *testing.T) {
	var accepting atomic.Int32
	m := newMonitor(t, &accepting)
	m.Connected()
	m.Suspect()
	if m.Verdict(context.Background()) {
		t.Error("cut off right after a connection was made")
	}
}
