package api

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// A valid resource must be accepted. The error for an invalid resource must name
// the invalid field.
func TestValidateReportsInvalidField(t *testing.T) {
	hash := strings.Repeat("a1", 32)
	tests := []struct {
		kind  Kind
		spec  string
		field string // empty if valid
	}{
		{KindServiceClass, `{"tier":3,"firstToken":"2s","floor":0.1}`, ""},
		{KindServiceClass, `{"tier":4}`, "tier"},
		{KindServiceClass, `{"tier":-1}`, "tier"},
		{KindServiceClass, `{"tier":0,"firstToken":"-1s"}`, "firstToken"},
		{KindServiceClass, `{"tier":0,"maxWait":"-1ns"}`, "maxWait"},
		{KindServiceClass, `{"tier":0,"floor":1.01}`, "floor"},
		{KindServiceClass, `null`, "spec"},
		{KindServiceClass, ``, "spec"},
		{KindOrganisation, `{"keyHashes":["` + hash + `"],"classes":["a"],"defaultClass":"a"}`, ""},
		{KindOrganisation, `{"keyHashes":["` + strings.ToUpper(hash) + `"]}`, "keyHashes"},
		{KindOrganisation, `{"keyHashes":["` + hash + `","` + hash + `"]}`, "keyHashes"},
		{KindOrganisation, `{"keyHashes":[],"weight":-1}`, "weight"},
		{KindOrganisation, `{"keyHashes":[],"classes":["a"],"defaultClass":"b"}`, "defaultClass"},
		{KindRoute, `{"versions":[{"model":"m","weight":1}],"idempotent":true}`, ""},
		{KindRoute, `{"versions":[],"idempotent":true}`, "versions"},
		{KindRoute, `{"versions":[{"model":"m","weight":0}],"idempotent":true}`, "versions.weight"},
		{KindRoute, `{"versions":[{"model":"m","weight":1},{"model":"m","weight":1}],"idempotent":true}`, "versions.model"},
		{KindBackendServer, `{"address":"10.0.0.1:80","dataCentre":"a","models":["m"],"slots":1}`, ""},
		{KindBackendServer, `{"address":"[::1]:80","dataCentre":"a","models":["m"],"slots":1,"role":"decode"}`, ""},
		{KindBackendServer, `{"address":"engine:80","dataCentre":"a","models":["m"],"slots":1}`, "address"},
		{KindBackendServer, `{"address":"10.0.0.1:0","dataCentre":"a","models":["m"],"slots":1}`, "address"},
		{KindBackendServer, `{"address":"10.0.0.1:80","dataCentre":"","models":["m"],"slots":1}`, "dataCentre"},
		{KindBackendServer, `{"address":"10.0.0.1:80","dataCentre":"a","models":[],"slots":1}`, "models"},
		{KindBackendServer, `{"address":"10.0.0.1:80","dataCentre":"a","models":["m"],"slots":0}`, "slots"},
		{KindBackendServer, `{"address":"10.0.0.1:80","dataCentre":"a","models":["m"],"slots":1,"role":"chef"}`, "role"},
		{KindLease, `{}`, "kind"},
	}
	for _, tt := range tests {
		err := Validate(Object{Kind: tt.kind, Name: "n", Spec: json.RawMessage(tt.spec)})
		var invalid *InvalidError
		switch {
		case tt.field == "" && err != nil:
			t.Errorf("kind %s with spec %s: error %v, want none", tt.kind, tt.spec, err)
		case tt.field != "" && (!errors.As(err, &invalid) || invalid.Field != tt.field):
			t.Errorf("kind %s with spec %s: error %v, want an *InvalidError for field %s", tt.kind, tt.spec, err, tt.field)
		}
	}
}

// A spec with a misspelt field, or a name that is empty, too long or has white
// space, must be refused.
func TestValidateRejectsUnknownFieldsAndBadNames(t *testing.T) {
	if Validate(Object{Kind: KindRoute, Name: "n", Spec: json.RawMessage(`{"version":[]}`)}) == nil {
		t.Error("a resource with an unknown field in its spec was accepted, want an error")
	}
	for _, name := range []string{"", "a b", "a\n", strings.Repeat("a", MaxNameBytes+1)} {
		if Validate(Object{Kind: KindServiceClass, Name: name, Spec: json.RawMessage(`{"tier":0}`)}) == nil {
			t.Errorf("a resource with the invalid name %q was accepted, want an error", name)
		}
	}
}
