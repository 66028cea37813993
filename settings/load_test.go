package settings

import (
	"strings"
	"testing"
	"time"
)

const valid = `[instance]
name = "a"
data_centre = "dc1"

[platform]
address = "127.0.0.1:9000"
`

func TestParseTakesDefaults(t *testing.T) {
	s, err := Parse("a.toml", []byte(valid+"call_timeout = \"3s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.CallTimeout.Std() != 3*time.Second || s.Limits.BodyBytes != Default().Limits.BodyBytes {
		t.Errorf("got %+v", s)
	}
}

func TestParseNamesTheFault(t *testing.T) {
	tests := []struct {
		name, file, want string
	}{
		{"unknown key", valid + "adress = 1\n", "a.toml:7: platform.adress: unknown key"},
		{"host name", strings.Replace(valid, "127.0.0.1:9000", "localhost:9000", 1), `a.toml:6: platform.address: "localhost:9000" is not an IP number and a port`},
		{"negative duration", valid + "call_timeout = \"-1s\"\n", "a.toml:7: platform.call_timeout: must be above 0"},
		{"missing data centre", strings.Replace(valid, "data_centre = \"dc1\"", "", 1), "a.toml:1: instance.data_centre: missing"},
		{"missing table", "# empty\n", "a.toml:1: instance.name: missing"},
		{"port twice", valid + "[listen]\ncallers = \"127.0.0.1:80\"\noperators = \"127.0.0.1:80\"\n", "a.toml:9: listen.operators: the same address as listen.callers"},
		{"open operators", valid + "[listen]\noperators = \"10.0.0.1:80\"\n", "a.toml:1: operators.token_hash: missing, and listen.operators is not a loopback address"},
		{"bad type", valid + "[limits]\nbody_bytes = \"many\"\n", "a.toml:8: limits.body_bytes: "},
		{"syntax", "[instance\n", "a.toml:1: (syntax): "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("a.toml", []byte(tt.file))
			if err == nil {
				t.Fatal("the settings passed")
			}
			if !strings.HasPrefix(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got  %q\nwant %q", err, tt.want)
			}
		})
	}
}
