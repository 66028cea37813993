package catalog

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MissingEntryGrace is how long a server may still be used after its entry was deleted,
// if its service has no other server. A server that leaves may have deleted
// its own entry. MissingEntryGrace is therefore shorter than the time within which a
// leaving server must stop getting requests.
const MissingEntryGrace = time.Second

// Snapshot is an immutable view of the catalog.
type Snapshot struct {
	// Ready is set once a configuration is known.
	Ready bool
	// Revision is the store's revision of the configuration, and Version the
	// version that the operator gave it.
	Revision int64
	Version  int64
	Limits   Limits
	// Servers holds all servers by ID, including those whose entry was deleted a short
	// time ago.
	Servers map[string]BackendServer

	routesByHost       map[string][]Route
	servicesByName     map[string]Service
	organisationsByKey map[string]Organisation
	serversByService   map[string][]BackendServer
	requiresKeys       bool
	// priorities holds the distinct priorities of the routes to each service, in
	// ascending order.
	priorities map[string][]int
	// urgencies holds the urgencies that the requests of each service can have, the
	// most urgent first.
	urgencies map[string][]Urgency
}

func newSnapshot() *Snapshot {
	return &Snapshot{Servers: map[string]BackendServer{}, serversByService: map[string][]BackendServer{}}
}

// setConfiguration builds the lookup tables of a configuration.
func (s *Snapshot) setConfiguration(c Configuration, revision int64) {
	s.Ready = true
	s.Revision = revision
	s.Version = c.Version
	s.Limits = c.Limits
	s.requiresKeys = len(c.Organisations) > 0
	s.routesByHost = make(map[string][]Route)
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
	}
	for _, routes := range s.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	s.priorities = make(map[string][]int)
	for _, r := range c.Routes {
		for _, target := range r.Targets {
			s.priorities[target.Service] = append(s.priorities[target.Service], r.Priority)
		}
	}
	for service, priorities := range s.priorities {
		slices.Sort(priorities)
		s.priorities[service] = slices.Compact(priorities)
	}
	s.urgencies = urgencyLevels(c)
	s.servicesByName = make(map[string]Service, len(c.Services))
	for _, service := range c.Services {
		s.servicesByName[service.Name] = service
	}
	s.organisationsByKey = make(map[string]Organisation)
	for _, org := range c.Organisations {
		for _, key := range org.Keys {
			s.organisationsByKey[key] = org
		}
	}
}

// setServers builds the lookup table of the servers by service, ordered by ID.
func (s *Snapshot) setServers(servers map[string]BackendServer) {
	s.Servers = servers
	s.serversByService = make(map[string][]BackendServer)
	for _, server := range servers {
		s.serversByService[server.Service] = append(s.serversByService[server.Service], server)
	}
	for _, list := range s.serversByService {
		slices.SortFunc(list, func(a, b BackendServer) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Route returns the route of the host with the longest matching path prefix. The
// host may include a port.
func (s *Snapshot) Route(host, path string) (*Route, bool) {
	routes, ok := s.routesByHost[strings.ToLower(host)]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = s.routesByHost[strings.ToLower(name)]
		}
	}
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// OrganisationNames returns the names of the organisations that have keys.
func (s *Snapshot) OrganisationNames() []string {
	names := make([]string, 0, len(s.organisationsByKey))
	for _, org := range s.organisationsByKey {
		names = append(names, org.Name)
	}
	return names
}

// Organisation returns the organisation that an API key belongs to.
func (s *Snapshot) Organisation(key string) (Organisation, bool) {
	org, ok := s.organisationsByKey[key]
	return org, ok
}

// NeedsKey reports whether requests of the route must carry an API key.
func (s *Snapshot) NeedsKey(r *Route) bool { return s.requiresKeys && !r.Public }

// Service returns a service of the configuration.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.servicesByName[name]
	return service, ok
}

// ScalableServices returns the services whose servers can be ordered, ordered by name.
func (s *Snapshot) ScalableServices() []Service {
	var services []Service
	for _, service := range s.servicesByName {
		if service.Autoscale != nil {
			services = append(services, service)
		}
	}
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// ServersOf returns all servers of a service, also those that leave or whose entry is missing. The
// caller must not modify the list.
func (s *Snapshot) ServersOf(service string) []BackendServer { return s.serversByService[service] }

// PriorityIndex returns how many priorities of the service's routes are more urgent
// than the given one, and how many distinct priorities these routes have.
func (s *Snapshot) PriorityIndex(service string, priority int) (index, levels int) {
	ordered := s.priorities[service]
	index, _ = slices.BinarySearch(ordered, priority)
	return index, len(ordered)
}

// Services lists the names of the services that have servers.
func (s *Snapshot) Services() []string {
	names := make([]string, 0, len(s.serversByService))
	for name := range s.serversByService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AvailableServers returns the servers of a service that may get new requests.
// Servers whose entry is missing are returned only if there is no other server,
// and only for MissingEntryGrace. The caller must not modify the list.
func (s *Snapshot) AvailableServers(service string, now time.Time) []BackendServer {
	all := s.serversByService[service]
	if !slices.ContainsFunc(all, func(server BackendServer) bool { return server.Leaving || server.EntryMissing }) {
		return all
	}
	var registered, missing []BackendServer
	for _, server := range all {
		switch {
		case server.Leaving:
		case !server.EntryMissing:
			registered = append(registered, server)
		case now.Sub(server.MissingSince) < MissingEntryGrace:
			missing = append(missing, server)
		}
	}
	if len(registered) > 0 {
		return registered
	}
	return missing
}

// PickService picks a service of the route by weight. The same request ID always
// gets the same service.
func (r *Route) PickService(requestID string) (string, bool) {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	offset := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		offset -= max(t.Weight, 0)
		if offset < 0 {
			return t.Service, true
		}
	}
	return "", false
}
