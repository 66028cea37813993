package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// A server that fails each request at once always looks idle. The core must not
// send all requests to such a server.
func TestProbesOfAFailingServerBackOff(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4, 4))
	probes := 0
	for range 1200 {
		h.submit(1, "batch")
		out := h.tick(10 * time.Millisecond)
		for _, g := range out.Grants {
			if g.Server == "s0" {
				probes++
			}
		}
		h.failAll("s0", outcome.ServerUnreachable, true)
		h.completeAll(10)
	}
	if probes < 3 || probes > 10 {
		t.Errorf("%d requests went to the failing server in 12 s, want 3 to 10 probes", probes)
	}
}

func TestRecoveredServerIsReadmitted(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4, 4))
	for range 3 {
		h.submit(8, "batch")
		h.tick(10 * time.Millisecond)
		h.failAll("s1", outcome.ServerUnreachable, true)
		h.completeAll(10)
	}
	h.tick(10 * time.Millisecond)
	if !h.core.servers[1].ejected {
		t.Fatal("server s1 is in the pool after repeated failures, want it ejected")
	}
	h.runSteadyLoad(300, 10*time.Millisecond, 1, "batch")
	if s := &h.core.servers[1]; s.ejected {
		t.Error("server s1 is still ejected after 3 s of light load without failures, want it readmitted")
	}
}

// An ejected server must be probed while the other server is full, and also
// after the other server is removed.
func TestEjectedServerIsProbedWhileThePoolIsFull(t *testing.T) {
	for _, dropOther := range []bool{false, true} {
		cfg := poolConfig(4, 4)
		h := newHarness(t, Options{}, cfg)
		for range 3 {
			h.submit(8, "batch")
			h.tick(10 * time.Millisecond)
			h.failAll("s1", outcome.ServerUnreachable, true)
		}
		h.submit(50, "batch")
		if dropOther {
			h.in.Config = &Config{Classes: cfg.Classes, Servers: cfg.Servers[1:]}
		}
		h.tick(5 * time.Second)
		if len(h.running["s1"]) == 0 {
			t.Errorf("no request went to the ejected server (other server removed: %v), want a probe", dropOther)
		}
	}
}

// The test submits a request that is not idempotent and so can't be a probe. The
// request runs only if the ejected server is readmitted.
func TestEjectedServerIsReadmittedWhenOthersLeave(t *testing.T) {
	cfg := poolConfig(4, 4)
	h := newHarness(t, Options{}, cfg)
	for range 3 {
		h.submit(8, "batch")
		h.tick(10 * time.Millisecond)
		h.failAll("s1", outcome.ServerUnreachable, true)
		h.completeAll(10)
	}
	h.in.Config = &Config{Classes: cfg.Classes, Servers: cfg.Servers[1:]}
	h.submit(1, "urgent", func(t *Ticket) { t.Idempotent = false })
	h.tick(10 * time.Millisecond)
	if len(h.running["s1"]) == 0 {
		t.Error("no request ran on the only remaining server, want the server readmitted")
	}
}

func TestAtMostHalfOfAPoolIsEjected(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4, 4, 4, 4, 4))
	for range 200 {
		h.submit(5, "batch")
		h.tick(20 * time.Millisecond)
		for _, s := range h.core.servers {
			h.failAll(s.Name, outcome.ServerUnreachable, true)
		}
		ejected := 0
		for i := range h.core.servers {
			if h.core.servers[i].ejected {
				ejected++
			}
		}
		if ejected > 2 {
			t.Fatalf("%d of 5 servers ejected, want at most 2", ejected)
		}
	}
	if h.core.Stats().Ejections == 0 {
		t.Error("no server was ejected although all failed, want at least one ejected")
	}
}
