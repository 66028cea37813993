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

// Index resolves requests from one configuration snapshot. It is safe for
// concurrent use.
type Index struct {
	snapshot              *config.Snapshot
	organisationByKeyHash map[string]string
	defaultClass          string
}

// NewIndex builds the index of a snapshot.
func NewIndex(s *config.Snapshot) *Index {
	idx := &Index{snapshot: s, organisationByKeyHash: make(map[string]string)}
	for _, name := range sortedNames(s.Organisations) {
		for _, hash := range s.Organisations[name].Spec.KeyHashes {
			idx.addKey(hash, name)
		}
	}
	for _, name := range sortedNames(s.Classes) {
		if s.Classes[name].Spec.Default && idx.defaultClass == "" {
			idx.defaultClass = name
		}
	}
	return idx
}

// addKey adds the hash of an organisation's key. If an organisation added
// before has the same hash, addKey does nothing.
func (idx *Index) addKey(hash, organisation string) {
	if _, listed := idx.organisationByKeyHash[hash]; !listed {
		idx.organisationByKeyHash[hash] = organisation
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

// HashKey returns the hash of a caller's key in the form used in the
// configuration: SHA-256 in hexadecimal digits.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Organisation returns the organisation that owns a caller's key. It returns
// false if no organisation has the key.
func (idx *Index) Organisation(key string) (config.Entry[api.OrganisationSpec], bool) {
	name, ok := idx.organisationByKeyHash[HashKey(key)]
	if !ok {
		return config.Entry[api.OrganisationSpec]{}, false
	}
	return idx.snapshot.Organisations[name], true
}

// Class returns the class of a request. If name is empty, the class is the
// organisation's default, or the global default if the organisation has none.
// If there is no class with the resulting name, the reason is UnknownClass. If
// the organisation may not use the class, the reason is NotAllowed.
func (idx *Index) Class(org config.Entry[api.OrganisationSpec], name string) (config.Entry[api.ServiceClassSpec], outcome.Reason) {
	if name == "" {
		name = org.Spec.DefaultClass
	}
	if name == "" {
		name = idx.defaultClass
	}
	class, ok := idx.snapshot.Classes[name]
	if !ok {
		return class, outcome.UnknownClass
	}
	if !allows(org.Spec.Classes, name) {
		return class, outcome.NotAllowed
	}
	return class, outcome.ReasonNone
}

// Route returns the route with the given name. The parameter service is true
// for a request to a service and false for a request to a model. If there is no
// route of this type with the name, the reason is UnknownModel. If the
// organisation may not use the route, the reason is NotAllowed.
func (idx *Index) Route(org config.Entry[api.OrganisationSpec], name string, service bool) (config.Entry[api.RouteSpec], outcome.Reason) {
	route, ok := idx.snapshot.Routes[name]
	if !ok || route.Spec.Service != service {
		return route, outcome.UnknownModel
	}
	if !allows(org.Spec.Routes, name) {
		return route, outcome.NotAllowed
	}
	return route, outcome.ReasonNone
}

// Models lists the names of the model routes that an organisation may use.
func (idx *Index) Models(org config.Entry[api.OrganisationSpec]) []string {
	var names []string
	for _, name := range sortedNames(idx.snapshot.Routes) {
		if !idx.snapshot.Routes[name].Spec.Service && allows(org.Spec.Routes, name) {
			names = append(names, name)
		}
	}
	return names
}

// ServerAddress returns a backend server's address. It returns false if the
// server is unknown or draining, or if its address is invalid.
func (idx *Index) ServerAddress(name string) (netip.AddrPort, bool) {
	entry, ok := idx.snapshot.BackendServers[name]
	if !ok || entry.Spec.Drain {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(entry.Spec.Address)
	return addr, err == nil
}

// PickVersion picks one of a route's versions. A version's share of the request
// IDs is proportional to its weight, and a request ID always gets the same
// version. PickVersion returns false if no version has a weight above 0.
func PickVersion(route api.RouteSpec, id schedcore.RequestID) (string, bool) {
	totalWeight := 0
	for _, v := range route.Versions {
		totalWeight += max(v.Weight, 0)
	}
	if totalWeight == 0 {
		return "", false
	}
	offset := int(binary.BigEndian.Uint64(id[:8]) % uint64(totalWeight))
	for _, v := range route.Versions {
		offset -= max(v.Weight, 0)
		if offset < 0 {
			return v.Model, true
		}
	}
	return "", false
}

// allows reports whether a list contains name. An empty list allows every name.
func allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
