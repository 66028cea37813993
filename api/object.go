package api

import "encoding/json"

// Kind names a type of object.
type Kind string

// The kinds that operators write.
const (
	KindServiceClass  Kind = "ServiceClass"
	KindOrganisation  Kind = "Organisation"
	KindRoute         Kind = "Route"
	KindBackendServer Kind = "BackendServer"
)

// The kinds that the system itself keeps.
const (
	KindLease  Kind = "Lease"
	KindClaim  Kind = "Claim"
	KindReport Kind = "Report"
)

// ConfigKinds lists the kinds that make up the configuration.
var ConfigKinds = []Kind{KindServiceClass, KindOrganisation, KindRoute, KindBackendServer}

// Object is the envelope in which the platform stores a resource.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the platform's revision of the last write to this object.
	Version int64 `json:"version"`
	// SpecVersion is the revision of the last write that changed Spec.
	SpecVersion int64           `json:"specVersion"`
	Spec        json.RawMessage `json:"spec,omitempty"`
	Status      json.RawMessage `json:"status,omitempty"`
}

// List is the answer to a list call. Version is the revision from which a
// watch continues without a gap.
type List struct {
	Version int64    `json:"version"`
	Items   []Object `json:"items"`
}

// EventType says what a watch event reports.
type EventType string

// The types of watch events.
const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark"
)

// WatchEvent is one line of a watch, newline-delimited JSON. For a delete the
// object carries kind, name and the version of the delete. A bookmark carries
// only the version up to which the watcher has seen everything.
type WatchEvent struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// The states in the platform's list of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one entry of the platform's lagging list of instances.
type ListedInstance struct {
	Name       string        `json:"name"`
	Address    string        `json:"address"`
	DataCentre string        `json:"dataCentre"`
	State      InstanceState `json:"state"`
}

// Error is the body of each failed call to the object API.
type Error struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Current *Object `json:"current,omitempty"`
}

// Codes of the object API's errors.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeCompacted   = "compacted"
	CodeRateLimited = "rate_limited"
	CodeUnavailable = "unavailable"
	CodeInvalid     = "invalid"
)

// Paths of the object API, all below the platform's base address.
//
//	GET    /objects/{kind}                   list
//	GET    /objects/{kind}/{name}            get
//	POST   /objects/{kind}/{name}            create if absent, else 409
//	PUT    /objects/{kind}/{name}?version=N  update if the version is N, else 409
//	DELETE /objects/{kind}/{name}?version=N  delete if the version is N, else 409
//	GET    /watch?kinds=A,B&from=N           stream of WatchEvent after N, 410 if compacted
//	GET    /instances                        list of ListedInstance
const (
	PathObjects   = "/objects/"
	PathWatch     = "/watch"
	PathInstances = "/instances"
)

// MaxObjectBytes is the largest object the platform stores.
const MaxObjectBytes = 1 << 20
