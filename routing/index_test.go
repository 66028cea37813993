package routing

import (
	"encoding/binary"
	"testing"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// testSnapshot returns a configuration with one organisation. The organisation
// may use only the class review and the route kilim.
func testSnapshot() *config.Snapshot {
	return &config.Snapshot{
		Classes: map[string]config.Entry[api.ServiceClassSpec]{
			"urgent": {Name: "urgent"},
			"review": {Name: "review", Spec: api.ServiceClassSpec{Default: true}},
		},
		Organisations: map[string]config.Entry[api.OrganisationSpec]{
			"dealer": {Name: "dealer", Spec: api.OrganisationSpec{
				KeyHashes: []string{HashKey("k1")},
				Classes:   []string{"review"},
				Routes:    []string{"kilim"},
			}},
		},
		Routes: map[string]config.Entry[api.RouteSpec]{
			"kilim":  {Name: "kilim"},
			"carpet": {Name: "carpet"},
			"print":  {Name: "print", Spec: api.RouteSpec{Service: true}},
		},
		BackendServers: map[string]config.Entry[api.BackendServerSpec]{
			"up":    {Name: "up", Spec: api.BackendServerSpec{Address: "127.0.0.1:1"}},
			"drain": {Name: "drain", Spec: api.BackendServerSpec{Address: "127.0.0.1:2", Drain: true}},
		},
	}
}

// TestClassPrefersRequestedNameThenDefaults checks that a request without a
// class gets the default class, and that a class is refused if it is unknown or
// the organisation may not use it.
func TestClassPrefersRequestedNameThenDefaults(t *testing.T) {
	idx := NewIndex(testSnapshot())
	org, ok := idx.Organisation("k1")
	if !ok {
		t.Fatal("key k1: got no organisation, want dealer")
	}
	if class, reason := idx.Class(org, ""); reason != outcome.ReasonNone || class.Name != "review" {
		t.Errorf("no class requested: got class %q with reason %v, want review with reason none", class.Name, reason)
	}
	if _, reason := idx.Class(org, "urgent"); reason != outcome.NotAllowed {
		t.Errorf("class urgent: got reason %v, want not_allowed", reason)
	}
	if _, reason := idx.Class(org, "gold"); reason != outcome.UnknownClass {
		t.Errorf("class gold: got reason %v, want unknown_class", reason)
	}
}

func TestRouteDistinguishesUnknownFromNotAllowed(t *testing.T) {
	idx := NewIndex(testSnapshot())
	org, _ := idx.Organisation("k1")
	if _, reason := idx.Route(org, "carpet", false); reason != outcome.NotAllowed {
		t.Errorf("model carpet: got reason %v, want not_allowed", reason)
	}
	if _, reason := idx.Route(org, "print", false); reason != outcome.UnknownModel {
		t.Errorf("service print requested as a model: got reason %v, want unknown_model", reason)
	}
	if _, ok := idx.Organisation("k2"); ok {
		t.Error("key k2: got an organisation, want none")
	}
}

func TestServerAddressOmitsDrainingServers(t *testing.T) {
	idx := NewIndex(testSnapshot())
	if _, ok := idx.ServerAddress("drain"); ok {
		t.Error("draining server: got an address, want none")
	}
	if _, ok := idx.ServerAddress("up"); !ok {
		t.Error("active server: got no address, want one")
	}
}

func TestPickVersionFollowsWeights(t *testing.T) {
	route := api.RouteSpec{Versions: []api.RouteVersion{{Model: "v1", Weight: 3}, {Model: "v2", Weight: 1}, {Model: "v3"}}}
	counts := map[string]int{}
	for i := range uint64(400) {
		var id schedcore.RequestID
		binary.BigEndian.PutUint64(id[:8], i)
		model, _ := PickVersion(route, id)
		counts[model]++
	}
	if counts["v1"] != 300 || counts["v2"] != 100 {
		t.Errorf("versions picked in 400 calls: got %v, want 300 times v1 and 100 times v2", counts)
	}
	if _, ok := PickVersion(api.RouteSpec{}, schedcore.RequestID{}); ok {
		t.Error("route without versions: got a version, want none")
	}
}
