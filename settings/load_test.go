package settings

import (
	"strings"
	"testing"
	"time"
)

const validFile = `[instance]
name = "a"
data_centre = "dc1"

[platform]
address = "127.0.0.1:9000"
`

// A setting in the file must replace its default. All other settings must keep
// their defaults.
func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse("a.toml", []byte(validFile+"call_timeout = \"3s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.CallTimeout.Std() != 3*time.Second || s.Limits.BodyBytes != Default().Limits.BodyBytes {
		t.Errorf("settings %+v, want the call timeout of the file and the default body size", s)
	}
}

// Each kind of invalid file must give an error on one line that names the file,
// line, key and cause.
func TestParseReportsLineKeyAndCause(t *testing.T) {
	tests := []struct {
		name, file, want string
	}{
		{"unknown key", validFile + "adress = 1\n", "a.toml:7: platform.adress: unknown key"},
		{"host name", strings.Replace(validFile, "127.0.0.1:9000", "localhost:9000", 1), `a.toml:6: platform.address: "localhost:9000" is not an IP number and a port`},
		{"negative duration", validFile + "call_timeout = \"-1s\"\n", "a.toml:7: platform.call_timeout: must be above 0"},
		{"missing data centre", strings.Replace(validFile, "data_centre = \"dc1\"", "", 1), "a.toml:1: instance.data_centre: missing"},
		{"missing table", "# empty\n", "a.toml:1: instance.name: missing"},
		{"shared address", validFile + "[listen]\ncallers = \"127.0.0.1:80\"\noperators = \"127.0.0.1:80\"\n", "a.toml:9: listen.operators: the same address as listen.callers"},
		{"no operator token", validFile + "[listen]\noperators = \"10.0.0.1:80\"\n", "a.toml:1: operators.token_hash: missing, and listen.operators is not a loopback address"},
		{"bad type", validFile + "[limits]\nbody_bytes = \"many\"\n", "a.toml:8: limits.body_bytes: "},
		{"syntax", "[instance\n", "a.toml:1: (syntax): "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("a.toml", []byte(tt.file))
			if err == nil {
				t.Fatal("invalid settings were accepted, want an error")
			}
			if !strings.HasPrefix(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q\nwant one line that starts with %q", err, tt.want)
			}
		})
	}
}
