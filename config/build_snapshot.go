package config

import (
	"slices"

	"bergamotpin.example/bergamotpin/api"
)

// Override says that a rule over several resources overrode part of a spec.
type Override struct {
	Key     ResourceKey
	Message string
}

// The messages of notes.
const (
	noteFloorScaled     = "floors sum to more than 1: each is divided by the sum"
	noteDefaultIgnored  = "another class before it in order of names is the default"
	noteAmbiguousKeyOut = "a key belongs to several organisations: it identifies none of them"
)

func emptySnapshot() *Snapshot {
	return &Snapshot{
		Classes:        map[string]Entry[api.ServiceClassSpec]{},
		Organisations:  map[string]Entry[api.OrganisationSpec]{},
		Routes:         map[string]Entry[api.RouteSpec]{},
		BackendServers: map[string]Entry[api.BackendServerSpec]{},
	}
}

// build returns a snapshot that shares the kinds without a change with the
// last one.
func (s *Store) build(changed []ResourceKey) (*Snapshot, []Override) {
	old := s.snapshot.Load()
	next := *old
	touched := make(map[api.Kind]bool)
	for _, key := range changed {
		touched[key.Kind] = true
		next.Revision = max(next.Revision, s.records[key].revision())
	}
	notes := slices.DeleteFunc(slices.Clone(s.notes), func(n Override) bool { return touched[n.Key.Kind] })
	if touched[api.KindServiceClass] {
		next.Classes = entries[api.ServiceClassSpec](s, api.KindServiceClass)
		notes = append(notes, scaleFloors(next.Classes)...)
		notes = append(notes, keepOneDefault(next.Classes)...)
	}
	if touched[api.KindOrganisation] {
		next.Organisations = entries[api.OrganisationSpec](s, api.KindOrganisation)
		notes = append(notes, dropAmbiguousKeys(next.Organisations)...)
	}
	if touched[api.KindRoute] {
		next.Routes = entries[api.RouteSpec](s, api.KindRoute)
	}
	if touched[api.KindBackendServer] {
		next.BackendServers = entries[api.BackendServerSpec](s, api.KindBackendServer)
	}
	return &next, notes
}

// entries collects the specs of a kind that are in force.
func entries[S any](s *Store, kind api.Kind) map[string]Entry[S] {
	all := make(map[string]Entry[S])
	for key, spec := range s.specs {
		if key.Kind != kind {
			continue
		}
		all[key.Name] = Entry[S]{Name: key.Name, SpecVersion: s.records[key].Accepted, Spec: spec.(S)}
	}
	return all
}

// sortedNames returns the names in an order that is the same on every
// instance.
func sortedNames[S any](all map[string]Entry[S]) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scaleFloors divides each floor by their sum if that is above 1.
func scaleFloors(classes map[string]Entry[api.ServiceClassSpec]) []Override {
	names := sortedNames(classes)
	sum := 0.0
	for _, name := range names {
		sum += classes[name].Spec.Floor
	}
	if sum <= 1 {
		return nil
	}
	var notes []Override
	for _, name := range names {
		class := classes[name]
		if class.Spec.Floor == 0 {
			continue
		}
		class.Spec.Floor /= sum
		classes[name] = class
		notes = append(notes, Override{ResourceKey{api.KindServiceClass, name}, noteFloorScaled})
	}
	return notes
}

// keepOneDefault leaves the mark of the default to the first class by name.
func keepOneDefault(classes map[string]Entry[api.ServiceClassSpec]) []Override {
	var notes []Override
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
		notes = append(notes, Override{ResourceKey{api.KindServiceClass, name}, noteDefaultIgnored})
	}
	return notes
}

// dropAmbiguousKeys takes a key that several organisations list from all of
// them, so that no caller acts for the wrong one.
func dropAmbiguousKeys(orgs map[string]Entry[api.OrganisationSpec]) []Override {
	owners := make(map[string]int)
	for _, org := range orgs {
		for _, hash := range org.Spec.KeyHashes {
			owners[hash]++
		}
	}
	var notes []Override
	for _, name := range sortedNames(orgs) {
		org := orgs[name]
		kept := slices.DeleteFunc(slices.Clone(org.Spec.KeyHashes), func(hash string) bool { return owners[hash] > 1 })
		if len(kept) == len(org.Spec.KeyHashes) {
			continue
		}
		org.Spec.KeyHashes = kept
		orgs[name] = org
		notes = append(notes, Override{ResourceKey{api.KindOrganisation, name}, noteAmbiguousKeyOut})
	}
	return notes
}
