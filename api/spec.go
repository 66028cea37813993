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
	// MaxWait bounds the time that a request waits in the queue. A request that has
	// waited for MaxWait is served from the class's floor or refused.
	MaxWait Duration `json:"maxWait,omitempty"`
	// Default marks the class that requests get if they name no class.
	Default bool `json:"default,omitempty"`
}

// OrganisationSpec lists the API keys of an organisation and what it may use.
type OrganisationSpec struct {
	// KeyHashes are the SHA-256 hashes of the organisation's API keys in lower-case
	// hexadecimal.
	KeyHashes []string `json:"keyHashes"`
	// Weight sets the organisation's share of the capacity that a class gets,
	// relative to the weights of the other organisations. Zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Classes and Routes list what the organisation may use. Empty means all.
	Classes []string `json:"classes,omitempty"`
	Routes  []string `json:"routes,omitempty"`
	// DefaultClass replaces the default class for this organisation's requests. If
	// it is empty, the class that is marked as Default applies.
	DefaultClass string `json:"defaultClass,omitempty"`
}

// RouteVersion is one of the model versions or services to which a route sends
// requests.
type RouteVersion struct {
	// Model is the name of a model version or service, as backend servers list
	// it.
	Model string `json:"model"`
	// Weight sets the version's share of the route's requests, relative to the
	// weights of the route's other versions.
	Weight int `json:"weight"`
}

// RouteSpec describes a route. Callers give the name of the route as the model name
// of a request. The route maps this name to model versions or to a plain service.
type RouteSpec struct {
	Versions []RouteVersion `json:"versions"`
	// Service marks a route to a plain service: an HTTP service that is not a
	// language model.
	Service bool `json:"service,omitempty"`
	// Idempotent says that a request may be retried or continued on another server.
	Idempotent bool `json:"idempotent"`
	// RequireKey makes the router refuse requests without an idempotency key.
	RequireKey bool `json:"requireKey,omitempty"`
}

// Role says which phases of a request a backend server runs. It is for deployments
// in which some servers run the prefill of prompts and others the decoding of
// answers.
type Role string

// Roles of a backend server. A server with RoleMixed runs both phases.
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
	// Service marks a server of plain services: HTTP services that are not
	// language models.
	Service bool `json:"service,omitempty"`
	// Slots is the initial limit on the server's concurrent requests.
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

// Condition says whether a statement about a resource is true, such as that its
// spec is in force.
type Condition struct {
	Type   ConditionType `json:"type"`
	Status bool          `json:"status"`
	// SpecVersion is the version of the spec that the condition describes.
	SpecVersion int64  `json:"specVersion"`
	Reason      string `json:"reason,omitempty"`
	Message     string `json:"message,omitempty"`
}

// RolloutByDataCentre counts the known instances of a data centre (Known), and the
// instances among them in which a spec version is in force (InForce).
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
