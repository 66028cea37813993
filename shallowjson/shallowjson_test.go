package shallowjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// deep nests more arrays than encoding/json decodes.
var deep = strings.Repeat("[", 20000) + strings.Repeat("]", 20000)

func TestDeepValueCostsOnlyItself(t *testing.T) {
	elements, err := Elements([]byte(`[1, ` + deep + ` , {"a":"]"}]`))
	if err != nil {
		t.Fatal(err)
	}
	want := []json.RawMessage{json.RawMessage("1"), json.RawMessage(deep), json.RawMessage(`{"a":"]"}`)}
	if diff := cmp.Diff(want, elements); diff != "" {
		t.Error(diff)
	}
	members, err := Members([]byte(`{"a":` + deep + `,"b\"":1e400, "c" : "x\\\"}" }`))
	if err != nil {
		t.Fatal(err)
	}
	wantMembers := map[string]json.RawMessage{"a": json.RawMessage(deep), `b"`: json.RawMessage("1e400"), "c": json.RawMessage(`"x\\\"}"`)}
	if diff := cmp.Diff(wantMembers, members); diff != "" {
		t.Error(diff)
	}
}

func TestSyntaxErrors(t *testing.T) {
	for _, text := range []string{"", "1", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]x", `["a`, `["\`, "{}", "[{]"} {
		if got, err := Elements([]byte(text)); err == nil {
			t.Errorf("Elements(%q) = %q, want an error", text, got)
		}
	}
	for _, text := range []string{"", "1", "{", `{"a"`, `{"a":`, `{"a":}`, `{"a":1,}`, `{a:1}`, `{"a":1}x`, "[]"} {
		if got, err := Members([]byte(text)); err == nil {
			t.Errorf("Members(%q) = %q, want an error", text, got)
		}
	}
}

// FuzzAgreesWithEncodingJSON checks that what encoding/json accepts is taken apart into the same
// parts, and that nothing else makes the scanner fail in another way than by an error.
func FuzzAgreesWithEncodingJSON(f *testing.F) {
	for _, text := range []string{
		`[]`, `[1,"a",null,{"b":[1]}]`, `{}`, `{"a":1,"a":2,"":{}}`, ` [ -1.5e3 , true ] `, `{"\u0061":"\\"}`, `null`, deep,
		`[1`, `{"a"`, "\xff", `["\`, `[[}]`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		elements, errElements := Elements(raw)
		var want []json.RawMessage
		if json.Unmarshal(raw, &want) == nil {
			if diff := cmp.Diff(len(want), len(elements)); diff != "" || errElements != nil {
				t.Fatalf("%q: error %v\n%s", raw, errElements, diff)
			}
			for n := range want {
				if string(want[n]) != string(elements[n]) {
					t.Fatalf("%q: element %d is %q, want %q", raw, n, elements[n], want[n])
				}
			}
		}
		members, errMembers := Members(raw)
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(raw, &wantMembers) == nil && wantMembers != nil {
			if diff := cmp.Diff(wantMembers, members); diff != "" || errMembers != nil {
				t.Fatalf("%q: error %v\n%s", raw, errMembers, diff)
			}
		}
	})
}
