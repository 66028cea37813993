package schedcore

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

func TestExplainRecordListsCandidatesAndChoice(t *testing.T) {
	h := newHarness(t, Options{MaxExplainRecords: 2}, poolConfig(4, 4))
	h.submit(3, "batch")
	h.tick(time.Second)
	records := h.core.ExplainRecords()
	if len(records) != 2 {
		t.Fatalf("%d explain records, want 2 (MaxExplainRecords)", len(records))
	}
	for _, r := range records {
		best := r.Candidates[0]
		for _, c := range r.Candidates {
			if c.Score < best.Score {
				best = c
			}
		}
		if len(r.Candidates) != 2 || r.Chosen != best.Server || r.Class != "batch" {
			t.Errorf("record %+v, want class batch, 2 candidates, and the candidate with the lowest score chosen", r)
		}
	}
}

func TestExplainRecordsOfAPreemption(t *testing.T) {
	h := newHarness(t, Options{MaxExplainRecords: 2}, poolConfig(2))
	h.submit(2, "batch")
	h.tick(0)
	want := h.submit(1, "urgent")
	out := h.untilPreemption()
	records := h.core.ExplainRecords()
	if r := records[0]; r.ID != out.Preemptions[0].ID || r.Reason != outcome.Preempted {
		t.Errorf("first record %+v, want the record of the preempted request", r)
	}
	if r := records[1]; r.ID != want || r.Chosen != out.Preemptions[0].Server {
		t.Errorf("second record %+v, want the grant of the preempted request's slot", r)
	}
}

func TestExplainRecordOfARefusalHasTheExpectedWait(t *testing.T) {
	h := newHarness(t, Options{MaxExplainRecords: 1}, poolConfig(4))
	h.runSteadyLoad(100, 50*time.Millisecond, 4, "urgent")
	h.submit(200, "urgent")
	h.tick(time.Millisecond)
	r := h.core.ExplainRecords()[0]
	if r.Reason != outcome.Infeasible || r.ExpectedWait < r.Slack {
		t.Errorf("record %+v, want reason Infeasible and an expected wait of at least the slack", r)
	}
}

func TestExplainRecordsAreOffByDefault(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(4))
	h.submit(3, "batch")
	h.tick(0)
	if n := len(h.core.ExplainRecords()); n != 0 {
		t.Errorf("%d explain records while MaxExplainRecords is 0, want none", n)
	}
}

func TestGaugesShowTheCurrentState(t *testing.T) {
	h := newHarness(t, Options{}, poolConfig(2))
	h.submit(3, "batch")
	h.tick(0)
	var g Gauges
	h.core.Gauges(&g)
	if g.Running != 2 || g.Waiting != 1 || g.Servers[0].InFlight != 2 || g.Classes[1].Waiting != 1 {
		t.Errorf("gauges %+v, want 2 running requests on the server and 1 waiting in class batch", g)
	}
}
