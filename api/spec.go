package api

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// MarshalText writes the duration in the form that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "2s". It fails on any other text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// ServiceClassSpec sets a class's priority and its latency targets.
type ServiceClassSpec struct {
	// Tier orders the classes: 0 is served first.
	Tier int `json:"tier"`
	// FirstToken, BetweenTokens and WholeAnswer are the latency targets. Zero
	// means no target.
	FirstToken    Duration `json:"firstToken,omitempty"`
	BetweenTokens Duration `json:"betweenTokens,omitempty"`
	WholeAnswer   Duration `json:"wholeAnswer,omitempty"`
	// Floor is the share of a pool's capacity that is reserved for the class,
	// from 0 to 1.
	Floor float64 `json:"floor,omitempty"`
	// MaxWait bounds the wait of a queued request: past it the request is
	// served from the floor or refused.
	MaxWait Duration `json:"maxWait,omitempty"`
	// Default marks the class of a request that names none.
	Default bool `json:"default,omitempty"`
}

// OrganisationSpec lists an organisation's keys and what it may use.
type OrganisationSpec struct {
	// KeyHashes are lower-case hexadecimal SHA-256 sums of the callers' keys.
	KeyHashes []string `json:"keyHashes"`
	// Weight is the organisation's share within a class. Zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Classes and Routes list what the organisation may use. Empty means all.
	Classes []string `json:"classes,omitempty"`
	Routes  []string `json:"routes,omitempty"`
	// DefaultClass overrides the default class. Empty means none.
	DefaultClass string `json:"defaultClass,omitempty"`
}

// RouteVersion is one target of a route.
type RouteVersion struct {
	// Model is the model version or service that the backend servers name.
	Model string `json:"model"`
	// Weight is the version's share of the route's requests.
	Weight int `json:"weight"`
}

// RouteSpec maps the name that callers use, which is the route's own name, to
// model versions or a plain service.
type RouteSpec struct {
	Versions []RouteVersion `json:"versions"`
	// Service marks a route to plain services.
	Service bool `json:"service,omitempty"`
	// Idempotent allows retries and continuation elsewhere.
	Idempotent bool `json:"idempotent"`
	// RequireKey refuses a request that carries no idempotency key.
	RequireKey bool `json:"requireKey,omitempty"`
}

// Role is what an engine does in a split deployment.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// BackendServerSpec describes one backend server.
type BackendServerSpec struct {
	// Address is an IP number and port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Models lists the model versions or service names it serves.
	Models []string `json:"models"`
	// Service marks a plain service.
	Service bool `json:"service,omitempty"`
	// Slots is the starting limit of concurrent requests.
	Slots int  `json:"slots"`
	Role  Role `json:"role,omitempty"`
	// ChecksFencing says that the server refuses an order with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Drain stops new work to the server.
	Drain bool `json:"drain,omitempty"`
}

// ConditionType names a condition in an object's status.
type ConditionType string

// The conditions of a resource.
const (
	ConditionAccepted ConditionType = "Accepted"
	ConditionInForce  ConditionType = "InForce"
	ConditionDrained  ConditionType = "Drained"
)

// Condition is one finding about a resource.
type Condition struct {
	Type   ConditionType `json:"type"`
	Status bool          `json:"status"`
	// SpecVersion is the revision that the condition speaks of.
	SpecVersion int64  `json:"specVersion"`
	Reason      string `json:"reason,omitempty"`
	Message     string `json:"message,omitempty"`
}

// RolloutByDataCentre counts the instances in which a revision is in force.
type RolloutByDataCentre struct {
	DataCentre string `json:"dataCentre"`
	InForce    int    `json:"inForce"`
	Known      int    `json:"known"`
}

// Status is the status of each configuration resource.
type Status struct {
	Conditions []Condition           `json:"conditions,omitempty"`
	Rollout    []RolloutByDataCentre `json:"reach,omitempty"`
	// InFlight counts the requests that a draining server still runs.
	InFlight int `json:"inFlight,omitempty"`
}

// DecodeSpec reads an object's spec strictly into v. It fails on unknown
// fields.
func DecodeSpec(raw json.RawMessage, v any) error {
	return decodeStrict(raw, v)
}
