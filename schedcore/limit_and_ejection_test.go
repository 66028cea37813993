package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// TestFailingServerIsProbedEverMoreRarely keeps a server that refuses at once
// from drawing all requests.
func TestFailingServerIsProbedEverMoreRarely(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4, 4))
	probes := 0
	for range 1200 {
		h.submit(1, "batch")
		out := h.tick(10 * time.Millisecond)
		for _, g := range out.Grants {
			if g.Server == "s0" {
				probes++
			}
		}
		h.fail("s0", outcome.ServerUnreachable, true)
		h.end(10)
	}
	if probes < 3 || probes > 10 {
		t.Errorf("%d requests went to the failing server in 12 s, want a few probes", probes)
	}
}

func TestServerThatRecoversComesBack(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4, 4))
	for range 3 {
		h.submit(8, "batch")
		h.tick(10 * time.Millisecond)
		h.fail("s1", outcome.ServerUnreachable, true)
		h.end(10)
	}
	h.tick(10 * time.Millisecond)
	if !h.core.servers[1].aside {
		t.Fatal("not set aside")
	}
	h.steady(300, 10*time.Millisecond, 1, "batch")
	if s := &h.core.servers[1]; s.aside {
		t.Error("still set aside after 3 s of light load")
	}
}

// TestServerSetAsideIsProbedBesideAFullPool also takes away the other server.
func TestServerSetAsideIsProbedBesideAFullPool(t *testing.T) {
	for _, drop := range []bool{false, true} {
		cfg := poolOf(4, 4)
		h := newHarness(t, Options{}, cfg)
		for range 3 {
			h.submit(8, "batch")
			h.tick(10 * time.Millisecond)
			h.fail("s1", outcome.ServerUnreachable, true)
		}
		h.submit(50, "batch")
		if drop {
			h.in.Config = &Config{Classes: cfg.Classes, Servers: cfg.Servers[1:]}
		}
		h.tick(5 * time.Second)
		if len(h.running["s1"]) == 0 {
			t.Errorf("other server dropped: %v; no request went to the server set aside", drop)
		}
	}
}

// TestServersComeBackWhenOthersLeave submits a request that can be no probe.
func TestServersComeBackWhenOthersLeave(t *testing.T) {
	cfg := poolOf(4, 4)
	h := newHarness(t, Options{}, cfg)
	for range 3 {
		h.submit(8, "batch")
		h.tick(10 * time.Millisecond)
		h.fail("s1", outcome.ServerUnreachable, true)
		h.end(10)
	}
	h.in.Config = &Config{Classes: cfg.Classes, Servers: cfg.Servers[1:]}
	h.submit(1, "urgent", func(t *Ticket) { t.Idempotent = false })
	h.tick(10 * time.Millisecond)
	if len(h.running["s1"]) == 0 {
		t.Error("the only server left is still set aside")
	}
}

func TestAtMostHalfOfAPoolIsSetAside(t *testing.T) {
	h := newHarness(t, Options{}, poolOf(4, 4, 4, 4, 4))
	for range 200 {
		h.submit(5, "batch")
		h.tick(20 * time.Millisecond)
		for _, s := range h.core.servers {
			h.fail(s.Name, outcome.ServerUnreachable, true)
		}
		aside := 0
		for i := range h.core.servers {
			if h.core.servers[i].aside {
				aside++
			}
		}
		if aside > 2 {
			t.Fatalf("%d of 5 servers set aside", aside)
		}
	}
	if h.core.Stats().Ejections == 0 {
		t.Error("no failing server was set aside")
	}
}
