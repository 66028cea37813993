package main

import (
	"strings"
	"testing"
)

const someLogs = `  1.5 edge-b {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"answered","request":"r1","server":"s2"}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"answered","request":"r2","server":"s2"}
not a line of ours
  1.2 edge-a {"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"attempt failed","request":"r1","server":"s1","reason":"stream_cut"}
`

func TestStoryIsInOrderOfTime(t *testing.T) {
	var out strings.Builder
	if err := storyOf(strings.NewReader(someLogs), "r1", &out); err != nil {
		t.Fatal(err)
	}
	want := `00:00:01.000 edge-a attempt failed: reason="stream_cut" server="s1"
00:00:02.000 edge-b answered: server="s2"
`
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}

func TestStoryOfAnUnknownRequestIsAnError(t *testing.T) {
	if err := storyOf(strings.NewReader(someLogs), "r3", &strings.Builder{}); err == nil {
		t.Error("no error")
	}
}

// TestStoryWithoutAnEndTellsWhatBecameOfTheInstance has an instance killed
// inside a request, and another one start meanwhile.
func TestStoryWithoutAnEndTellsWhatBecameOfTheInstance(t *testing.T) {
	const logs = `edge-a {"time":"2026-01-01T00:00:01Z","msg":"sent","request":"r1","server":"s1"}
edge-a {"time":"2026-01-01T00:00:00Z","msg":"start"}
edge-b {"time":"2026-01-01T00:00:02Z","msg":"start"}
edge-a {"time":"2026-01-01T00:00:03Z","msg":"start"}
`
	var out strings.Builder
	if err := storyOf(strings.NewReader(logs), "r1", &out); err != nil {
		t.Fatal(err)
	}
	want := `00:00:01.000 edge-a sent: server="s1"
00:00:03.000 edge-a start:
`
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}
