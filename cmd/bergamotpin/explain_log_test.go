package main

import (
	"strings"
	"testing"
)

// twoRequestLogs holds log lines about the requests r1 and r2, not in the order
// of time.
const twoRequestLogs = `  1.5 edge-b {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"answered","request":"r1","server":"s2"}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"answered","request":"r2","server":"s2"}
not a line of ours
  1.2 edge-a {"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"attempt failed","request":"r1","server":"s1","reason":"stream_cut"}
`

func TestExplanationIsSortedByTime(t *testing.T) {
	var out strings.Builder
	if err := explainFromLogs(strings.NewReader(twoRequestLogs), "r1", &out); err != nil {
		t.Fatal(err)
	}
	want := `00:00:01.000 edge-a attempt failed: reason="stream_cut" server="s1"
00:00:02.000 edge-b answered: server="s2"
`
	if out.String() != want {
		t.Errorf("got explanation %q, want the two lines about r1 sorted by time", out.String())
	}
}

func TestExplanationOfUnknownRequestFails(t *testing.T) {
	if err := explainFromLogs(strings.NewReader(twoRequestLogs), "r3", &strings.Builder{}); err == nil {
		t.Error("got no error for a request without log lines, want an error")
	}
}

// TestExplanationOfUnfinishedRequestShowsRestart has the logs of edge-a, which
// was killed while it processed a request. The explanation must end with the
// restart of edge-a, although edge-b started earlier.
func TestExplanationOfUnfinishedRequestShowsRestart(t *testing.T) {
	const logs = `edge-a {"time":"2026-01-01T00:00:01Z","msg":"sent","request":"r1","server":"s1"}
edge-a {"time":"2026-01-01T00:00:00Z","msg":"start"}
edge-b {"time":"2026-01-01T00:00:02Z","msg":"start"}
edge-a {"time":"2026-01-01T00:00:03Z","msg":"start"}
`
	var out strings.Builder
	if err := explainFromLogs(strings.NewReader(logs), "r1", &out); err != nil {
		t.Fatal(err)
	}
	want := `00:00:01.000 edge-a sent: server="s1"
00:00:03.000 edge-a start:
`
	if out.String() != want {
		t.Errorf("got explanation %q, want the line \"sent\" and then the restart of edge-a", out.String())
	}
}
