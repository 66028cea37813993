package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

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

func TestDecodeSpecRejectsUnknownFields(t *testing.T) {
	var got ServiceClassSpec
	if err := DecodeSpec(json.RawMessage(`{"teir":1}`), &got); err == nil {
		t.Error("an unknown field was accepted")
	}
}
