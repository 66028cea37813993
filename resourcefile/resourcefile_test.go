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

// Objects that EncodeTOML encodes must be the same after parsing. In particular,
// integers must not become floats. The JSON decoder returns integers as floats.
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
		t.Errorf("the encoded file has no line \"tier = 0\", want an integer there; the file is\n%s", raw)
	}
	second, err := Parse("b.toml", raw)
	if err != nil {
		t.Fatalf("error %v when parsing the encoded file, want none; the file is\n%s", err, raw)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Error(diff)
	}
}

// Each kind of invalid file must give an error on one line that names the file,
// line, key and cause.
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
				t.Errorf("error %v\nwant one line that starts with %s", err, tt.want)
			}
		})
	}
}
