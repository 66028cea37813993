package resourcefile

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validFile = `[[resource]]
kind = "ServiceClass"
name = "lookup"
[resource.spec]
tier = 0
firstToken = "500ms"

[[resource]]
kind = "Route"
name = "histories"
[resource.spec]
idempotent = true
versions = [{ model = "histories-v1", weight = 1 }]
`

// A file that EncodeTOML wrote must hold the same specs. In particular, integers must
// not become floats, as the JSON decoder makes them.
func TestEncodedFileParsesToSameObjects(t *testing.T) {
	first, err := Parse("a.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := EncodeTOML(first)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(raw), "tier = 0\n") {
		t.Errorf("an integer was written as a float in\n%s", raw)
	}
	second, err := Parse("b.toml", raw)
	if err != nil {
		t.Fatalf("the encoded file does not parse: %v in\n%s", err, raw)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Error(diff)
	}
}

func TestParseReportsLineKeyAndCause(t *testing.T) {
	tests := []struct{ name, path, content, want string }{
		{"bad spec", "a.toml", strings.Replace(validFile, "weight = 1", "weight = -1", 1), "a.toml:8: Route/histories: "},
		{"unknown field", "a.toml", strings.Replace(validFile, "tier", "teir", 1), "a.toml:1: ServiceClass/lookup: "},
		{"twice", "a.toml", validFile + validFile, "a.toml:14: ServiceClass/lookup: stands twice in the file"},
		{"unknown key", "a.toml", "[[resource]]\nkidn = \"Route\"\n", "a.toml:2: resource.kidn: unknown key"},
		{"syntax", "a.toml", "[[resource]\n", "a.toml:1: (syntax): "},
		{"empty", "a.toml", "", "a.toml:1: resource: the file holds no resource"},
		{"json", "a.json", "{\"resource\":[\n{\"kidn\":1}]}", "a.json:2: (file): "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse(tt.path, []byte(tt.content))
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got  %v\nwant one line that starts with %s", err, tt.want)
			}
		})
	}
}
