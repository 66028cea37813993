package chaos

import (
	"testing"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
)

func routeEntries(versions map[string]int64) map[string]config.Entry[api.RouteSpec] {
	out := make(map[string]config.Entry[api.RouteSpec])
	for name, version := range versions {
		out[name] = config.Entry[api.RouteSpec]{Name: name, SpecVersion: version}
	}
	return out
}

// TestRegressedEntriesAreReported checks that regressedEntries reports the
// missing entries and the entries with a lower version, and no others.
func TestRegressedEntriesAreReported(t *testing.T) {
	before := routeEntries(map[string]int64{"a": 3, "b": 5})
	tests := []struct {
		name  string
		after map[string]int64
		want  int
	}{
		{"unchanged", map[string]int64{"a": 3, "b": 5}, 0},
		{"newer version and new entry", map[string]int64{"a": 4, "b": 5, "c": 1}, 0},
		{"fallen", map[string]int64{"a": 2, "b": 5}, 1},
		{"gone", map[string]int64{"b": 5}, 1},
		{"both", map[string]int64{"b": 4}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := regressedEntries(before, routeEntries(test.after)); len(got) != test.want {
				t.Errorf("got problems %v, want %d problems", got, test.want)
			}
		})
	}
}
