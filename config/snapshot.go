package config

import "bergamotpin.example/bergamotpin/api"

// Entry is one resource that is in force.
type Entry[S any] struct {
	Name string
	// SpecVersion is the platform's version of the write that set Spec.
	SpecVersion int64
	Spec        S
}

// Snapshot is an immutable view of the accepted configuration. The maps are keyed
// by the names of the resources.
type Snapshot struct {
	// Revision is the highest version of a spec or a delete that the snapshot
	// reflects.
	Revision       int64
	Classes        map[string]Entry[api.ServiceClassSpec]
	Organisations  map[string]Entry[api.OrganisationSpec]
	Routes         map[string]Entry[api.RouteSpec]
	BackendServers map[string]Entry[api.BackendServerSpec]
}
