package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A spec must decode with its durations, which are written as text.
func TestDecodeSpecParsesDurations(t *testing.T) {
	var got ServiceClassSpec
	raw := json.RawMessage(`{"tier":1,"firstToken":"2s"}`)
	if err := DecodeSpec(raw, &got); err != nil {
		t.Fatal(err)
	}
	want := ServiceClassSpec{Tier: 1, FirstToken: Duration(2 * time.Second)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A misspelt field must not be ignored, since the operator would not notice that
// the setting has no effect.
func TestDecodeSpecRejectsUnknownFields(t *testing.T) {
	var got ServiceClassSpec
	if err := DecodeSpec(json.RawMessage(`{"teir":1}`), &got); err == nil {
		t.Error("a spec with an unknown field was accepted, want an error")
	}
}
