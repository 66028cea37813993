package config

import (
	"slices"

	"bergamotpin.example/bergamotpin/api"
)

// Override says that part of a resource's spec is not in force as written,
// because of a rule that covers several resources.
type Override struct {
	Key     ResourceKey
	Message string
}

// Messages of overrides.
const (
	overrideFloorScaled    = "floors sum to more than 1: each is divided by the sum"
	overrideDefaultIgnored = "another class before it in order of names is the default"
	overrideAmbiguousKey   = "a key belongs to several organisations: it identifies none of them"
)

func emptySnapshot() *Snapshot {
	return &Snapshot{
		Classes:        map[string]Entry[api.ServiceClassSpec]{},
		Organisations:  map[string]Entry[api.OrganisationSpec]{},
		Routes:         map[string]Entry[api.RouteSpec]{},
		BackendServers: map[string]Entry[api.BackendServerSpec]{},
	}
}

// buildSnapshot returns the snapshot that follows the current one, and all
// overrides in it. For kinds without a changed resource, both snapshots share the
// map. The caller holds mu.
func (s *Store) buildSnapshot(changed []ResourceKey) (*Snapshot, []Override) {
	old := s.snapshot.Load()
	next := *old
	changedKinds := make(map[api.Kind]bool)
	for _, key := range changed {
		changedKinds[key.Kind] = true
		next.Revision = max(next.Revision, s.records[key].revision())
	}
	overrides := slices.DeleteFunc(slices.Clone(s.overrides), func(override Override) bool { return changedKinds[override.Key.Kind] })
	if changedKinds[api.KindServiceClass] {
		next.Classes = acceptedEntries[api.ServiceClassSpec](s, api.KindServiceClass)
		overrides = append(overrides, scaleFloors(next.Classes)...)
		overrides = append(overrides, keepOneDefault(next.Classes)...)
	}
	if changedKinds[api.KindOrganisation] {
		next.Organisations = acceptedEntries[api.OrganisationSpec](s, api.KindOrganisation)
		overrides = append(overrides, dropAmbiguousKeys(next.Organisations)...)
	}
	if changedKinds[api.KindRoute] {
		next.Routes = acceptedEntries[api.RouteSpec](s, api.KindRoute)
	}
	if changedKinds[api.KindBackendServer] {
		next.BackendServers = acceptedEntries[api.BackendServerSpec](s, api.KindBackendServer)
	}
	return &next, overrides
}

// acceptedEntries returns the specs of a kind that are in force, by name.
func acceptedEntries[S any](s *Store, kind api.Kind) map[string]Entry[S] {
	byName := make(map[string]Entry[S])
	for key, spec := range s.specs {
		if key.Kind != kind {
			continue
		}
		byName[key.Name] = Entry[S]{Name: key.Name, SpecVersion: s.records[key].Accepted, Spec: spec.(S)}
	}
	return byName
}

// sortedNames returns the names in byte order, so that all instances apply the
// rules across resources in the same order.
func sortedNames[S any](byName map[string]Entry[S]) []string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scaleFloors divides each class's floor by the sum of all floors if that sum is
// above 1.
func scaleFloors(classes map[string]Entry[api.ServiceClassSpec]) []Override {
	names := sortedNames(classes)
	sum := 0.0
	for _, name := range names {
		sum += classes[name].Spec.Floor
	}
	if sum <= 1 {
		return nil
	}
	var overrides []Override
	for _, name := range names {
		class := classes[name]
		if class.Spec.Floor == 0 {
			continue
		}
		class.Spec.Floor /= sum
		classes[name] = class
		overrides = append(overrides, Override{ResourceKey{api.KindServiceClass, name}, overrideFloorScaled})
	}
	return overrides
}

// keepOneDefault keeps the default mark of only one class. If several classes have
// the mark, it clears the mark of all but the first in order of names.
func keepOneDefault(classes map[string]Entry[api.ServiceClassSpec]) []Override {
	var overrides []Override
	found := false
	for _, name := range sortedNames(classes) {
		class := classes[name]
		if !class.Spec.Default {
			continue
		}
		if !found {
			found = true
			continue
		}
		class.Spec.Default = false
		classes[name] = class
		overrides = append(overrides, Override{ResourceKey{api.KindServiceClass, name}, overrideDefaultIgnored})
	}
	return overrides
}

// If several organisations list the same key, dropAmbiguousKeys removes the key
// from all of them, so that no caller is taken for a member of the wrong
// organisation.
func dropAmbiguousKeys(orgs map[string]Entry[api.OrganisationSpec]) []Override {
	ownerCount := make(map[string]int)
	for _, org := range orgs {
		for _, hash := range org.Spec.KeyHashes {
			ownerCount[hash]++
		}
	}
	var overrides []Override
	for _, name := range sortedNames(orgs) {
		org := orgs[name]
		unique := slices.DeleteFunc(slices.Clone(org.Spec.KeyHashes), func(hash string) bool { return ownerCount[hash] > 1 })
		if len(unique) == len(org.Spec.KeyHashes) {
			continue
		}
		org.Spec.KeyHashes = unique
		orgs[name] = org
		overrides = append(overrides, Override{ResourceKey{api.KindOrganisation, name}, overrideAmbiguousKey})
	}
	return overrides
}
