package routing

import (
	"encoding/binary"
	"testing"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

func snapshot() *config.Snapshot {
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

func TestClassFollowsHeaderThenDefaults(t *testing.T) {
	x := NewIndex(snapshot())
	org, ok := x.Organisation("k1")
	if !ok {
		t.Fatal("the key was not found")
	}
	if class, reason := x.Class(org, ""); reason != outcome.ReasonNone || class.Name != "review" {
		t.Errorf("default: got %q, %v", class.Name, reason)
	}
	if _, reason := x.Class(org, "urgent"); reason != outcome.NotAllowed {
		t.Errorf("class that is not allowed: got %v", reason)
	}
	if _, reason := x.Class(org, "gold"); reason != outcome.UnknownClass {
		t.Errorf("unknown class: got %v", reason)
	}
}

func TestRouteTellsUnknownFromNotAllowed(t *testing.T) {
	x := NewIndex(snapshot())
	org, _ := x.Organisation("k1")
	if _, reason := x.Route(org, "carpet", false); reason != outcome.NotAllowed {
		t.Errorf("carpet: got %v", reason)
	}
	if _, reason := x.Route(org, "print", false); reason != outcome.UnknownModel {
		t.Errorf("a service as a model: got %v", reason)
	}
	if _, ok := x.Organisation("k2"); ok {
		t.Error("an unknown key was accepted")
	}
}

func TestServerThatDrainsGetsNoWork(t *testing.T) {
	x := NewIndex(snapshot())
	if _, ok := x.ServerAddress("drain"); ok {
		t.Error("a draining server was returned")
	}
	if _, ok := x.ServerAddress("up"); !ok {
		t.Error("the live server was not returned")
	}
}

func TestVersionFollowsWeights(t *testing.T) {
	route := api.RouteSpec{Versions: []api.RouteVersion{{Model: "v1", Weight: 3}, {Model: "v2", Weight: 1}, {Model: "v3"}}}
	counts := map[string]int{}
	for i := range uint64(400) {
		var id schedcore.RequestID
		binary.BigEndian.PutUint64(id[:8], i)
		model, _ := PickVersion(route, id)
		counts[model]++
	}
	if counts["v1"] != 300 || counts["v2"] != 100 {
		t.Errorf("got %v", counts)
	}
	if _, ok := PickVersion(api.RouteSpec{}, schedcore.RequestID{}); ok {
		t.Error("a route without versions picked one")
	}
}
