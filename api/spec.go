package api

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// MarshalText encodes the duration in the format of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text in the format of time.ParseDuration, such as "2s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// ServiceClassSpec sets a class's priority and its latency targets.
type ServiceClassSpec struct {
	// Tier is the class's priority. Tier 0 is the most urgent.
	Tier int `json:"tier"`
	// FirstToken, BetweenTokens and WholeAnswer are the latency targets: the time
	// to the first token, between two tokens and to the end of the answer. Zero
	// means no target.
	FirstToken    Duration `json:"firstToken,omitempty"`
	BetweenTokens Duration `json:"betweenTokens,omitempty"`
	WholeAnswer   Duration `json:"wholeAnswer,omitempty"`
	// Floor is the share of a pool's capacity that is reserved for the class,
	// from 0 to 1.
	Floor float64 `json:"floor,omitempty"`
	// MaxWait bounds the wait of a queued request. After it, the request is
	// served from the class's floor or refused.
	MaxWait Duration `json:"maxWait,omitempty"`
	// Default marks the class for requests that name no class.
	Default bool `json:"default,omitempty"`
}

// OrganisationSpec lists the API keys of an organisation and what it may use.
type OrganisationSpec struct {
	// KeyHashes are the lower-case hexadecimal SHA-256 hashes of its API keys.
	KeyHashes []string `json:"keyHashes"`
	// Weight sets the organisation's share of a class relative to the other
	// organisations. Zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Classes and Routes list what the organisation may use. Empty means all.
	Classes []string `json:"classes,omitempty"`
	Routes  []string `json:"routes,omitempty"`
	// DefaultClass replaces the default class for this organisation's requests.
	// Empty means that the general default applies.
	DefaultClass string `json:"defaultClass,omitempty"`
}

// RouteVersion is one target of a route.
type RouteVersion struct {
	// Model is the name of a model version or service, as backend servers list
	// it.
	Model string `json:"model"`
	// Weight sets the share of the route's requests relative to the other
	// versions.
	Weight int `json:"weight"`
}

// RouteSpec maps a model name in callers' requests, which is the name of the route,
// to model versions or to a plain service.
type RouteSpec struct {
	Versions []RouteVersion `json:"versions"`
	// Service marks a route to a plain service, which is not a language model.
	Service bool `json:"service,omitempty"`
	// Idempotent allows a request to be retried or continued on another server.
	Idempotent bool `json:"idempotent"`
	// RequireKey makes the router refuse requests without an idempotency key.
	RequireKey bool `json:"requireKey,omitempty"`
}

// Role says which phases of a request an engine runs, for deployments that split
// prefill and decode between engines.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// BackendServerSpec describes one backend server.
type BackendServerSpec struct {
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Models lists the model versions or services that the server offers.
	Models []string `json:"models"`
	// Service marks a server of plain services, which are not language models.
	Service bool `json:"service,omitempty"`
	// Slots is the initial limit of concurrent requests.
	Slots int  `json:"slots"`
	Role  Role `json:"role,omitempty"`
	// ChecksFencing says that the server refuses an order with an outdated
	// fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Drain makes the router send no new requests to the server.
	Drain bool `json:"drain,omitempty"`
}

// ConditionType is the type of a condition in an object's status.
type ConditionType string

// Condition types of a resource.
const (
	ConditionAccepted ConditionType = "Accepted"
	ConditionInForce  ConditionType = "InForce"
	ConditionDrained  ConditionType = "Drained"
)

// Condition says whether a statement about a resource, such as "in force", is true.
type Condition struct {
	Type   ConditionType `json:"type"`
	Status bool          `json:"status"`
	// SpecVersion is the version of the spec that the condition describes.
	SpecVersion int64  `json:"specVersion"`
	Reason      string `json:"reason,omitempty"`
	Message     string `json:"message,omitempty"`
}

// RolloutByDataCentre counts the known instances in a data centre, and those in
// which a spec version is in force.
type RolloutByDataCentre struct {
	DataCentre string `json:"dataCentre"`
	InForce    int    `json:"inForce"`
	Known      int    `json:"known"`
}

// Status is the status of a configuration resource.
type Status struct {
	Conditions []Condition           `json:"conditions,omitempty"`
	Rollout    []RolloutByDataCentre `json:"reach,omitempty"`
	// InFlight is the number of requests that a draining server still runs.
	InFlight int `json:"inFlight,omitempty"`
}

// DecodeSpec decodes an object's spec into v. It fails on unknown fields and on
// data after the spec.
func DecodeSpec(raw json.RawMessage, v any) error {
	return decodeStrict(raw, v)
}
