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

// addKey adds the hash of an organisation's key. If several organisations list
// the same hash, the one that was added first keeps it.
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

// HashKey returns the hash under which a caller's key is configured.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Organisation returns the organisation that a caller's key belongs to.
func (idx *Index) Organisation(key string) (config.Entry[api.OrganisationSpec], bool) {
	name, ok := idx.organisationByKeyHash[HashKey(key)]
	if !ok {
		return config.Entry[api.OrganisationSpec]{}, false
	}
	return idx.snapshot.Organisations[name], true
}

// Class returns the class of a request: the one with the given name, or the
// default of the organisation if the name is empty, or else the global default.
// The reason says why there is none.
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

// Route returns the route with this name. The parameter service says whether
// the request is for a service or for a model. The reason says why there is no
// route.
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

// ServerAddress returns a backend server's address, or false if it is unknown
// or draining.
func (idx *Index) ServerAddress(name string) (netip.AddrPort, bool) {
	entry, ok := idx.snapshot.BackendServers[name]
	if !ok || entry.Spec.Drain {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(entry.Spec.Address)
	return addr, err == nil
}

// PickVersion picks a version of a route by weight. The same request ID always
// gets the same version. PickVersion returns false if no version has a weight
// above 0.
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
