package api

import "encoding/json"

// Kind is a type of object.
type Kind string

// Kinds that operators write.
const (
	KindServiceClass  Kind = "ServiceClass"
	KindOrganisation  Kind = "Organisation"
	KindRoute         Kind = "Route"
	KindBackendServer Kind = "BackendServer"
)

// Kinds that the router itself writes.
const (
	KindLease  Kind = "Lease"
	KindClaim  Kind = "Claim"
	KindReport Kind = "Report"
)

// ConfigKinds lists the kinds that make up the configuration. Do not modify it.
var ConfigKinds = []Kind{KindServiceClass, KindOrganisation, KindRoute, KindBackendServer}

// Object is a resource as the platform stores it.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the version of the last write to this object.
	Version int64 `json:"version"`
	// SpecVersion is the version of the last write that changed Spec.
	SpecVersion int64           `json:"specVersion"`
	Spec        json.RawMessage `json:"spec,omitempty"`
	Status      json.RawMessage `json:"status,omitempty"`
}

// List is the response to a list call. A watch from Version misses no change that
// follows the list.
type List struct {
	Version int64    `json:"version"`
	Items   []Object `json:"items"`
}

// EventType is the type of a watch event.
type EventType string

// Types of watch events.
const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark"
)

// WatchEvent is one line in the newline-delimited JSON of a watch. A put carries
// the whole object. A delete carries the object's kind and name and the version of
// the delete. A bookmark carries only a version, and says that all events up to
// this version have been sent.
type WatchEvent struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of instances in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one entry in the platform's list of instances, which may be
// out of date.
type ListedInstance struct {
	Name       string        `json:"name"`
	Address    string        `json:"address"`
	DataCentre string        `json:"dataCentre"`
	State      InstanceState `json:"state"`
}

// ErrorResponse is the response body of a failed call to the object API. If a
// conditional write failed, Current is the stored object. Otherwise it is nil.
type ErrorResponse struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Current *Object `json:"current,omitempty"`
}

// Error codes of the object API.
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
//	POST   /objects/{kind}/{name}            create, 409 if it exists
//	PUT    /objects/{kind}/{name}?version=N  update, 409 unless the version is N
//	DELETE /objects/{kind}/{name}?version=N  delete, 409 unless the version is N
//	GET    /watch?kinds=A,B&from=N           stream of the events after version N, 410 if they are compacted
//	GET    /instances                        list of ListedInstance
const (
	PathObjects   = "/objects/"
	PathWatch     = "/watch"
	PathInstances = "/instances"
)

// MaxObjectBytes is the size in bytes of the largest object that the platform
// stores.
const MaxObjectBytes = 1 << 20
