package catalog

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MissingEntryGrace is for how long a server without an entry may still be used if its
// service has no other. It is under the time in which a leaving server must get
// nothing more.
const MissingEntryGrace = time.Second

// Snapshot is an immutable view of the catalog.
type Snapshot struct {
	// Ready is set once a configuration is known.
	Ready bool
	// Revision is that of the configuration, and Version the operator's.
	Revision int64
	Version  int64
	Limits   Limits
	// Servers holds every server that has an entry, and those that lost it.
	Servers map[string]BackendServer

	hosts     map[string][]Route
	services  map[string]Service
	owners    map[string]Organisation
	byService map[string][]BackendServer
	needsKeys bool
	// ranks are the different ranks of the routes to each service, in order.
	ranks map[string][]int
}

func newSnapshot() *Snapshot {
	return &Snapshot{Servers: map[string]BackendServer{}, byService: map[string][]BackendServer{}}
}

// setConfiguration builds the look-ups of a configuration.
func (s *Snapshot) setConfiguration(c Configuration, revision int64) {
	s.Ready = true
	s.Revision = revision
	s.Version = c.Version
	s.Limits = c.Limits
	s.needsKeys = len(c.Organisations) > 0
	s.hosts = make(map[string][]Route)
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	s.ranks = make(map[string][]int)
	for _, r := range c.Routes {
		for _, target := range r.Targets {
			s.ranks[target.Service] = append(s.ranks[target.Service], r.Priority)
		}
	}
	for service, ranks := range s.ranks {
		slices.Sort(ranks)
		s.ranks[service] = slices.Compact(ranks)
	}
	s.services = make(map[string]Service, len(c.Services))
	for _, service := range c.Services {
		s.services[service.Name] = service
	}
	s.owners = make(map[string]Organisation)
	for _, org := range c.Organisations {
		for _, key := range org.Keys {
			s.owners[key] = org
		}
	}
}

// setServers builds the look-ups of the servers, in the order of their IDs.
func (s *Snapshot) setServers(servers map[string]BackendServer) {
	s.Servers = servers
	s.byService = make(map[string][]BackendServer)
	for _, server := range servers {
		s.byService[server.Service] = append(s.byService[server.Service], server)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b BackendServer) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Route returns the route with the longest prefix that begins the path.
func (s *Snapshot) Route(host, path string) (*Route, bool) {
	routes, ok := s.hosts[strings.ToLower(host)]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = s.hosts[strings.ToLower(name)]
		}
	}
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Organisation returns whoever holds a key.
func (s *Snapshot) Organisation(key string) (Organisation, bool) {
	org, ok := s.owners[key]
	return org, ok
}

// NeedsKey reports whether requests of the route must carry a key.
func (s *Snapshot) NeedsKey(r *Route) bool { return s.needsKeys && !r.Public }

// Service returns a service of the configuration.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// PriorityIndex tells where a rank stands among those of a service's routes: how many
// different ones are more urgent, and how many there are.
func (s *Snapshot) PriorityIndex(service string, rank int) (position, ranks int) {
	ordered := s.ranks[service]
	position, _ = slices.BinarySearch(ordered, rank)
	return position, len(ordered)
}

// Services lists the names of the services that have servers.
func (s *Snapshot) Services() []string {
	names := make([]string, 0, len(s.byService))
	for name := range s.byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AvailableServers returns the servers of a service that may get new work. Servers
// whose entry is missing are returned, for a short time, only if there is no
// other. The caller must not change the list.
func (s *Snapshot) AvailableServers(service string, now time.Time) []BackendServer {
	all := s.byService[service]
	if !slices.ContainsFunc(all, func(b BackendServer) bool { return b.Leaving || b.EntryMissing }) {
		return all
	}
	var listed, lapsed []BackendServer
	for _, b := range all {
		switch {
		case b.Leaving:
		case !b.EntryMissing:
			listed = append(listed, b)
		case now.Sub(b.MissingSince) < MissingEntryGrace:
			lapsed = append(lapsed, b)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return lapsed
}

// PickService picks a route's service by weight. The same request always gets the
// same one.
func (r *Route) PickService(requestID string) (string, bool) {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		point -= max(t.Weight, 0)
		if point < 0 {
			return t.Service, true
		}
	}
	return "", false
}
