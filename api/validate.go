package api

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// MaxNameBytes bounds the length of a resource's name in bytes.
	MaxNameBytes = 253
	// MaxSpecBytes bounds the size of the spec of a configuration resource, so that
	// the spec fits in one message between instances.
	MaxSpecBytes = 128 << 10
	// MaxTier is the least urgent tier of a ServiceClass.
	MaxTier = 3
	// MaxRouteWeight bounds the weight of one version of a route.
	MaxRouteWeight = 1_000_000
	// MaxSlots bounds a backend server's initial limit of concurrent requests.
	MaxSlots = 100_000

	// keyHashDigits is the length of a SHA-256 hash in hexadecimal digits.
	keyHashDigits = 64
)

// InvalidError says which field of a resource is invalid.
type InvalidError struct {
	Field   string
	Problem string
}

// Error describes the field and its problem.
func (e *InvalidError) Error() string { return e.Field + ": " + e.Problem }

func newInvalidError(field, format string, args ...any) error {
	return &InvalidError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Validate checks the kind, name and spec of a configuration resource. The result
// depends on nothing else, so that all instances agree on it. Validate does not
// check rules that cover several resources.
func Validate(obj Object) error {
	_, err := ParseSpec(obj)
	return err
}

// ParseSpec validates a configuration resource and returns its decoded spec: a
// ServiceClassSpec, OrganisationSpec, RouteSpec or BackendServerSpec.
func ParseSpec(obj Object) (any, error) {
	if err := validateName("name", obj.Name); err != nil {
		return nil, err
	}
	if len(obj.Spec) > MaxSpecBytes {
		return nil, newInvalidError("spec", "above %d bytes", MaxSpecBytes)
	}
	if raw := bytes.TrimSpace(obj.Spec); len(raw) == 0 || raw[0] != '{' {
		return nil, newInvalidError("spec", "must be a JSON object")
	}
	switch obj.Kind {
	case KindServiceClass:
		return decodeAndValidate(obj, validateServiceClass)
	case KindOrganisation:
		return decodeAndValidate(obj, validateOrganisation)
	case KindRoute:
		return decodeAndValidate(obj, validateRoute)
	case KindBackendServer:
		return decodeAndValidate(obj, validateBackendServer)
	}
	return nil, newInvalidError("kind", "%q is not a kind of configuration", obj.Kind)
}

func decodeAndValidate[S any](obj Object, validate func(S) error) (any, error) {
	var spec S
	if err := DecodeSpec(obj.Spec, &spec); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	if err := validate(spec); err != nil {
		return nil, err
	}
	return spec, nil
}

func validateServiceClass(s ServiceClassSpec) error {
	if s.Tier < 0 || s.Tier > MaxTier {
		return newInvalidError("tier", "must be from 0 to %d", MaxTier)
	}
	durations := []struct {
		field string
		value Duration
	}{
		{"firstToken", s.FirstToken},
		{"betweenTokens", s.BetweenTokens},
		{"wholeAnswer", s.WholeAnswer},
		{"maxWait", s.MaxWait},
	}
	for _, d := range durations {
		if d.value < 0 {
			return newInvalidError(d.field, "must not be negative")
		}
	}
	if s.Floor < 0 || s.Floor > 1 {
		return newInvalidError("floor", "must be from 0 to 1")
	}
	return nil
}

func validateOrganisation(s OrganisationSpec) error {
	for _, hash := range s.KeyHashes {
		if !isKeyHash(hash) {
			return newInvalidError("keyHashes", "must be SHA-256 sums in %d lower-case hexadecimal digits", keyHashDigits)
		}
	}
	if s.Weight < 0 || s.Weight > math.MaxInt32 {
		return newInvalidError("weight", "must be from 0 to %d", math.MaxInt32)
	}
	nameLists := []struct {
		field string
		names []string
	}{
		{"keyHashes", s.KeyHashes},
		{"classes", s.Classes},
		{"routes", s.Routes},
	}
	for _, l := range nameLists {
		if err := validateNames(l.field, l.names); err != nil {
			return err
		}
	}
	if s.DefaultClass == "" || len(s.Classes) == 0 {
		return nil
	}
	for _, class := range s.Classes {
		if class == s.DefaultClass {
			return nil
		}
	}
	return newInvalidError("defaultClass", "%q is not among classes", s.DefaultClass)
}

func isKeyHash(s string) bool {
	return len(s) == keyHashDigits && strings.Trim(s, "0123456789abcdef") == ""
}

func validateRoute(s RouteSpec) error {
	if len(s.Versions) == 0 {
		return newInvalidError("versions", "must not be empty")
	}
	models := make([]string, 0, len(s.Versions))
	total := 0
	for _, v := range s.Versions {
		if v.Weight < 0 || v.Weight > MaxRouteWeight {
			return newInvalidError("versions.weight", "must be from 0 to %d", MaxRouteWeight)
		}
		total += v.Weight
		models = append(models, v.Model)
	}
	if total == 0 {
		return newInvalidError("versions.weight", "must not all be 0")
	}
	return validateNames("versions.model", models)
}

func validateBackendServer(s BackendServerSpec) error {
	addr, err := netip.ParseAddrPort(s.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return newInvalidError("address", "%q is not an IP number and port", s.Address)
	}
	if err := validateName("dataCentre", s.DataCentre); err != nil {
		return err
	}
	if len(s.Models) == 0 {
		return newInvalidError("models", "must not be empty")
	}
	if err := validateNames("models", s.Models); err != nil {
		return err
	}
	if s.Slots < 1 || s.Slots > MaxSlots {
		return newInvalidError("slots", "must be from 1 to %d", MaxSlots)
	}
	switch s.Role {
	case "", RoleMixed, RolePrefill, RoleDecode:
		return nil
	}
	return newInvalidError("role", "%q is not a role", s.Role)
}

// validateNames checks each name. It also checks that no name appears twice.
func validateNames(field string, names []string) error {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if err := validateName(field, name); err != nil {
			return err
		}
		if seen[name] {
			return newInvalidError(field, "%q stands twice", name)
		}
		seen[name] = true
	}
	return nil
}

func validateName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return newInvalidError(field, "must have from 1 to %d bytes", MaxNameBytes)
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] >= 0x7f {
			return newInvalidError(field, "%q has a byte that is not printable ASCII", name)
		}
	}
	return nil
}
