package catalog

import (
	"cmp"
	"slices"
)

// Urgency says how urgent a request is among the requests of a service. The
// organisation's priority decides first; the route's priority decides between
// requests whose organisations have the same priority. The route's priority stands in
// for that of an organisation without one.
type Urgency struct {
	OrganisationPriority int
	RoutePriority        int
}

// Compare returns a negative number if u is more urgent than o.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.OrganisationPriority, o.OrganisationPriority), cmp.Compare(u.RoutePriority, o.RoutePriority))
}

// UrgencyOf returns the urgency of an organisation's requests on a route.
func UrgencyOf(r *Route, org Organisation) Urgency {
	u := Urgency{OrganisationPriority: r.Priority, RoutePriority: r.Priority}
	if org.HasPriority {
		u.OrganisationPriority = org.Priority
	}
	return u
}

// urgencyLevels returns, for each service, the distinct urgencies that its requests can
// have, the most urgent first.
func urgencyLevels(c Configuration) map[string][]Urgency {
	// Only the priorities of organisations matter here, and few of them differ.
	var organisations []Organisation
	for _, org := range c.Organisations {
		priorityOnly := Organisation{Priority: org.Priority, HasPriority: org.HasPriority}
		if !slices.ContainsFunc(organisations, func(o Organisation) bool {
			return o.Priority == priorityOnly.Priority && o.HasPriority == priorityOnly.HasPriority
		}) {
			organisations = append(organisations, priorityOnly)
		}
	}
	levels := make(map[string][]Urgency)
	for i := range c.Routes {
		r := &c.Routes[i]
		callers := organisations
		if r.Public || len(callers) == 0 {
			callers = []Organisation{{}}
		}
		for _, target := range r.Targets {
			for _, org := range callers {
				levels[target.Service] = append(levels[target.Service], UrgencyOf(r, org))
			}
		}
	}
	for service, list := range levels {
		slices.SortFunc(list, Urgency.Compare)
		levels[service] = slices.Compact(list)
	}
	return levels
}

// UrgencyIndex returns how many of the urgencies that the service's requests can have
// are more urgent than that of the organisation's requests on the route, and how many
// distinct urgencies there are.
func (s *Snapshot) UrgencyIndex(service string, r *Route, org Organisation) (index, levels int) {
	ordered := s.urgencies[service]
	index, _ = slices.BinarySearchFunc(ordered, UrgencyOf(r, org), Urgency.Compare)
	return index, len(ordered)
}
