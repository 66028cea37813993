package schedcore

import (
	"testing"
	"time"
)

func TestServerWithTheCachedPrefixIsChosen(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(8, 8, 8))
	h.in.CacheHints = append(h.in.CacheHints, CacheHint{Server: "s2", Prefix: 42, Tokens: 3000})
	longPrompt := func(t *Ticket) { t.Prefix, t.PrefixTokens, t.PromptTokens = 42, 3000, 3100 }
	h.submit(1, "batch", longPrompt)
	if g := h.tick(0).Grants[0]; g.Server != "s2" {
		t.Errorf("granted on %s, want s2, which has the prefix cached", g.Server)
	}
	h.in.CacheHints = append(h.in.CacheHints, CacheHint{Server: "s2", Prefix: 42, Evicted: true})
	h.submit(1, "batch", longPrompt)
	if g := h.tick(time.Millisecond).Grants[0]; g.Server == "s2" {
		t.Error("granted on s2 after it evicted the prefix, want one of the two idle servers")
	}
}

func TestGrantRecordsThePrefixAsCached(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(8, 8, 8))
	longPrompt := func(t *Ticket) { t.Prefix, t.PrefixTokens, t.PromptTokens = 42, 3000, 3100 }
	h.submit(1, "batch", longPrompt)
	first := h.tick(0).Grants[0]
	h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: first.ID, Attempt: 1, After: 300 * time.Millisecond})
	h.submit(1, "batch", longPrompt)
	if g := h.tick(time.Second).Grants[0]; g.Server != first.Server {
		t.Errorf("granted on %s, want %s, which ran the first request with this prefix", g.Server, first.Server)
	}
}

func TestPrefixTableIsBounded(t *testing.T) {
	table := newPrefixTable()
	for i := range 3 * maxPrefixes {
		table.addHolder(uint64(i+1), prefixHolder{server: 1, tokens: 10})
	}
	if len(table.entries) != maxPrefixes || len(table.index) != maxPrefixes {
		t.Errorf("%d entries, %d indexed, want %d of each", len(table.entries), len(table.index), maxPrefixes)
	}
	if len(table.holders(3*maxPrefixes)) != 1 {
		t.Error("the prefix added last does not have one holder, want one")
	}
}

// At server s1 the time between tokens is 5 ms times the number of running
// requests. The target is 50 ms, so server s1 must get a limit of about 10. Server
// s0 is five times as fast and must keep its limit.
func TestSlowServerGetsALowerLimit(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(16, 16))
	h.core.classes[0].BetweenTokens = 50 * time.Millisecond
	for range 400 {
		h.submit(40, "urgent")
		h.tick(50 * time.Millisecond)
		for name, grants := range h.running {
			gap := time.Duration(len(grants)) * time.Millisecond
			if name == "s1" {
				gap *= 5
			}
			for _, g := range grants {
				h.in.FirstTokens = append(h.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: 10 * time.Millisecond})
				h.in.Progress = append(h.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 10, Gap: gap})
			}
		}
		h.completeAll(10)
	}
	fast, slow := h.core.servers[0].limit(), h.core.servers[1].limit()
	if fast != 16 || slow < 7 || slow > 13 {
		t.Errorf("limit %d of the fast server, want 16; limit %d of the slow server, want 7 to 13", fast, slow)
	}
}

// The test simulates a service that does not stream tokens. Each answer takes
// 50 ms times the number of running requests. The target is 1 s, so with a limit
// of about 10 the answers take at most half of the target.
func TestServiceWithLateWholeAnswersGetsALowerLimit(t *testing.T) {
	cfg := poolConfig(32)
	cfg.Classes[1].WholeAnswer = time.Second
	h := newHarness(t, Options{}, cfg)
	completions := make(map[int][]Grant)
	for tick := range 4000 {
		for _, g := range completions[tick] {
			h.in.Completions = append(h.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt})
		}
		h.submit(max(0, 40-h.core.waiting), "batch")
		for _, g := range h.tick(10 * time.Millisecond).Grants {
			durationTicks := 5 * len(h.core.running)
			completions[tick+durationTicks] = append(completions[tick+durationTicks], g)
		}
	}
	if got := h.core.servers[0].limit(); got < 6 || got > 14 {
		t.Errorf("limit %d of the server, want 6 to 14", got)
	}
}

func TestLoadReportsRevealRequestsOfOtherSenders(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(8))
	for range 20 {
		h.in.LoadReports = append(h.in.LoadReports, LoadReport{Server: "s0", Running: 6, Age: 500 * time.Millisecond})
		h.tick(100 * time.Millisecond)
	}
	h.submit(8, "batch")
	if got := len(h.tick(time.Millisecond).Grants); got < 2 || got > 3 {
		t.Errorf("%d grants, want 2 or 3, since other senders' 6 requests use the rest of the 8 slots", got)
	}
	h.tick(2 * loadReportLifetime)
	if got := len(h.tick(time.Millisecond).Grants) + len(h.core.running); got != 8 {
		t.Errorf("%d requests run after the load reports stopped, want 8", got)
	}
}
