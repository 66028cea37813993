package settings

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// TestEdgeShares guards against a limit of second attempts that is dropped or given to another
// name, and against second attempts by default.
func TestEdgeShares(t *testing.T) {
	if got := DefaultEdge().SecondAttempts; got.Share != 0 || len(got.Services)+len(got.Routes) > 0 {
		t.Errorf("got the defaults %+v, want no second attempts", got)
	}
	text := "[second_attempts]\nshare = 0.05\n[[second_attempts.service]]\nname = \"a\"\nshare = 0.2\n" +
		"[[second_attempts.service]]\nname = \"b\"\nshare = 0\n[[second_attempts.route]]\nname = \"a\"\nshare = 0.01\n"
	got, err := ParseEdge("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := EdgeSecondAttempts{Share: 0.05, Services: []EdgeShare{{"a", 0.2}, {"b", 0}}, Routes: []EdgeShare{{"a", 0.01}}}
	if diff := cmp.Diff(want, got.SecondAttempts); diff != "" {
		t.Error(diff)
	}
}

// TestEdgeSharesRejected guards against a limit that is taken although it can't be meant, and
// against an error that doesn't lead to its line.
func TestEdgeSharesRejected(t *testing.T) {
	const table = "[second_attempts]\n"
	entry := func(name, share string) string {
		return "[[second_attempts.service]]\nname = \"" + name + "\"\nshare = " + share + "\n"
	}
	for text, want := range map[string]string{
		table + "share = 0.21":                           "f:2: second_attempts.share: must be from 0 to 0.2",
		table + "share = -0.01":                          "f:2: second_attempts.share: must be from 0 to 0.2",
		table + "share = nan":                            "f:2: second_attempts.share: must be from 0 to 0.2",
		table + "share = \"5%\"":                         "f:2: second_attempts.share:",
		table + "shares = 0.1":                           "f:2: second_attempts.shares: unknown key",
		entry("a", "0.1") + entry("b", "inf"):            "f:6: second_attempts.service[1].share: must be from 0 to 0.2",
		entry("a", "0.1") + entry("a", "0.1"):            "f:5: second_attempts.service[1].name: the same name",
		"[[second_attempts.route]]\nshare = 0.1":         "f:1: second_attempts.route[0].name: missing",
		"# c\n[[second_attempts.service]]\nshare = 0.1":  "f:2: second_attempts.service[0].name: missing",
		"[[second_attempts.route]]\nname = \"a\"\nx = 1": "f:3: second_attempts.route.x: unknown key",
	} {
		_, err := ParseEdge("f", []byte(text))
		var invalid *Error
		if !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got the error %v, want %s", text, err, want)
		}
	}
}
