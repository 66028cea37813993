package config

import "bergamotpin.example/bergamotpin/api"

// Entry is one accepted resource.
type Entry[S any] struct {
	Name string
	// SpecVersion is the platform's revision of the write that set Spec.
	SpecVersion int64
	Spec        S
}

// Snapshot is an immutable view of the accepted configuration.
type Snapshot struct {
	// Revision is the highest spec version that the snapshot reflects, deletes
	// included.
	Revision       int64
	Classes        map[string]Entry[api.ServiceClassSpec]
	Organisations  map[string]Entry[api.OrganisationSpec]
	Routes         map[string]Entry[api.RouteSpec]
	BackendServers map[string]Entry[api.BackendServerSpec]
}
