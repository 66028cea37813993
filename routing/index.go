package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"slices"
	"sort"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// Index answers look-ups in one snapshot. It is safe for concurrent use.
type Index struct {
	snapshot     *config.Snapshot
	byKey        map[string]string // key hash to organisation
	defaultClass string
}

// NewIndex builds the index of a snapshot.
func NewIndex(s *config.Snapshot) *Index {
	x := &Index{snapshot: s, byKey: make(map[string]string)}
	for _, name := range sortedNames(s.Organisations) {
		for _, hash := range s.Organisations[name].Spec.KeyHashes {
			x.addKey(hash, name)
		}
	}
	for _, name := range sortedNames(s.Classes) {
		if s.Classes[name].Spec.Default && x.defaultClass == "" {
			x.defaultClass = name
		}
	}
	return x
}

// addKey keeps the first organisation of a key that two of them list.
func (x *Index) addKey(hash, organisation string) {
	if _, taken := x.byKey[hash]; !taken {
		x.byKey[hash] = organisation
	}
}

func sortedNames[S any](entries map[string]config.Entry[S]) []string {
	names := make([]string, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HashKey returns the form in which a caller's key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Organisation returns the organisation of a caller's key.
func (x *Index) Organisation(key string) (config.Entry[api.OrganisationSpec], bool) {
	name, ok := x.byKey[HashKey(key)]
	if !ok {
		return config.Entry[api.OrganisationSpec]{}, false
	}
	return x.snapshot.Organisations[name], true
}

// Class returns the class that a request asks for: the named one, or else the
// organisation's default, or else the default of all.
func (x *Index) Class(org config.Entry[api.OrganisationSpec], name string) (config.Entry[api.ServiceClassSpec], outcome.Reason) {
	if name == "" {
		name = org.Spec.DefaultClass
	}
	if name == "" {
		name = x.defaultClass
	}
	class, ok := x.snapshot.Classes[name]
	if !ok {
		return class, outcome.UnknownClass
	}
	if !allows(org.Spec.Classes, name) {
		return class, outcome.NotAllowed
	}
	return class, outcome.ReasonNone
}

// Route returns the route of a model or service name.
func (x *Index) Route(org config.Entry[api.OrganisationSpec], name string, service bool) (config.Entry[api.RouteSpec], outcome.Reason) {
	route, ok := x.snapshot.Routes[name]
	if !ok || route.Spec.Service != service {
		return route, outcome.UnknownModel
	}
	if !allows(org.Spec.Routes, name) {
		return route, outcome.NotAllowed
	}
	return route, outcome.ReasonNone
}

// Models lists the names of the model routes that an organisation may use.
func (x *Index) Models(org config.Entry[api.OrganisationSpec]) []string {
	var names []string
	for _, name := range sortedNames(x.snapshot.Routes) {
		if !x.snapshot.Routes[name].Spec.Service && allows(org.Spec.Routes, name) {
			names = append(names, name)
		}
	}
	return names
}

// ServerAddress returns a backend server's address if it may get new work.
func (x *Index) ServerAddress(name string) (netip.AddrPort, bool) {
	entry, ok := x.snapshot.BackendServers[name]
	if !ok || entry.Spec.Drain {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(entry.Spec.Address)
	return addr, err == nil
}

// PickVersion picks a route's version for a request, by weight. It returns false
// if no version has a weight above 0.
func PickVersion(route api.RouteSpec, id schedcore.RequestID) (string, bool) {
	total := 0
	for _, v := range route.Versions {
		total += max(v.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	point := int(binary.BigEndian.Uint64(id[:8]) % uint64(total))
	for _, v := range route.Versions {
		point -= max(v.Weight, 0)
		if point < 0 {
			return v.Model, true
		}
	}
	return "", false
}

// allows treats an empty list as all.
func allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
