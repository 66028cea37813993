package schedcore

import (
	"math"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

func TestAddClamped(t *testing.T) {
	tests := []struct{ a, b, want time.Duration }{
		{1, 2, 3},
		{-2, 5, 3},
		{farFuture, 1, farFuture},
		{1, farFuture, farFuture},
		{math.MinInt64 + 1, farFuture, 0},
		{-5, farFuture, farFuture - 5},
	}
	for _, tt := range tests {
		if got := addClamped(tt.a, tt.b); got != tt.want {
			t.Errorf("%d + %d = %d, want %d", tt.a, tt.b, got, tt.want)
		}
	}
}

// Requests without time limits have unlimited slack. Adding recheckSlack to this
// slack used to overflow, so that these requests were refused.
func TestClassWithoutTargetsIsNotRefusedAtTheStart(t *testing.T) {
	cfg := &Config{Classes: []Class{{Name: "free"}}, Servers: []Server{{Name: "s0", Slots: 1}}}
	h := newHarness(t, Options{}, cfg)
	h.submit(50, "free")
	if out := h.tick(0); len(out.Refusals) > 0 {
		t.Errorf("%d refusals, want none; the first is %+v", len(out.Refusals), out.Refusals[0])
	}
}

// A pool without servers serves no requests, so it has no rate from which to
// compute Retry-After times. It must use defaultRetryAfter.
func TestRetryAfterWithoutServersIsShort(t *testing.T) {
	cfg := &Config{Classes: []Class{{Name: "c"}}, Servers: []Server{{Name: "s0", Slots: 1, Draining: true}}}
	h := newHarness(t, Options{}, cfg)
	h.submit(20, "c")
	for _, r := range h.tick(0).Refusals {
		if r.Reason != outcome.NoBackendServer || r.RetryAfter <= 0 || r.RetryAfter > 2*time.Second {
			t.Errorf("reason %v, Retry-After time %v; want the reason of a missing backend server and a time above 0 of at most 2 s", r.Reason, r.RetryAfter)
		}
	}
}

// If a request waited elsewhere before this core started, the request's latest
// start can be negative. The core must still refuse the request after its latest
// start.
func TestWaitBeforeTheCoreStartedCounts(t *testing.T) {
	cfg := &Config{
		Classes: []Class{{Name: "c", FirstToken: time.Second}},
		Servers: []Server{{Name: "s0", Slots: 1}},
	}
	h := newHarness(t, Options{}, cfg)
	h.submit(1, "c")
	h.tick(0)
	h.submit(1, "c", func(t *Ticket) { t.Waited = 10 * time.Second })
	// The tick comes more than recheckSlack later, so that only the latest start
	// can cause the refusal.
	if out := h.tick(2 * recheckSlack); len(out.Refusals) != 1 || out.Refusals[0].Reason != outcome.Infeasible {
		t.Errorf("refusals %+v, want one with reason Infeasible", out.Refusals)
	}
}
