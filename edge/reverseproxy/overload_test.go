package reverseproxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// overloadServers has a peer report that every server has a long queue of prompts.
func (f *fixture) overloadServers() {
	load := balancer.Load{Running: 50, Waiting: 50, PrefillTokens: 1_000_000}
	var reports []balancer.ServerReport
	for _, s := range f.catalog.Snapshot().Servers {
		reports = append(reports, balancer.ServerReport{Key: balancer.ServerKey(s), Load: load})
	}
	f.handler.Selector.ReceiveReports("peer", "dc1", balancer.InstanceReports{Servers: reports}, time.Now())
}

// TestRefusalBecauseOfLoadIsExplained checks that the log line of such a refusal
// names the values that led to it.
func TestRefusalBecauseOfLoadIsExplained(t *testing.T) {
	f := newFixture(t, 1)
	var lines bytes.Buffer
	f.handler.Failures = slog.New(slog.NewJSONHandler(&lines, nil))
	f.overloadServers()
	r := f.request(pathStream)
	r.Header.Set(platform.HeaderTokenCount, "17000,100")
	f.expectStatus(f.do(r), 503)
	for _, want := range []string{
		`"reason":"infeasible"`, `"route":"stream"`, `"rank":`, `"route_rank":3`, `"objective_ms":300`, `"server":"i-0"`, `"prompt":17000`,
		`"unread":1000000`, `"own_unread":0`, `"candidates":1`, `"peers":1`, `"oldest_report_ms":`, `"fastest_ms":`, `"held_back_for_ms":0`, `"less_urgent_admitted_ms":0`,
	} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("the log lacks %s: %s", want, lines.String())
		}
	}
}

// TestEngineCanTellUrgentFromLessUrgentOfOneOrganisation guards against engines
// that preempt urgent requests because all of an organisation's have one priority.
func TestEngineCanTellUrgentFromLessUrgentOfOneOrganisation(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Events: 1})
	f.expectStatus(f.do(f.request(pathResumable)), 200)
	f.expectStatus(f.do(f.request(pathStream)), 200)
	got := f.servers[0].Received()
	urgent, lessUrgent := got[0].Header.Get(platform.HeaderPriority), got[1].Header.Get(platform.HeaderPriority)
	if urgent >= lessUrgent {
		t.Errorf("the engine got priority %s for a route with priority 0 and %s for one with priority 3, want a lower number for the former", urgent, lessUrgent)
	}
}
