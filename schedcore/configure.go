package schedcore

import (
	"cmp"
	"math"
	"slices"

	"bergamotpin.example/bergamotpin/outcome"
)

// configure replaces the tables of classes, organisations and servers. Rows
// keep their indexes, and what was learnt stays. A row that is no longer
// configured is marked as gone: its running requests go on.
func (c *Core) configure(cfg *Config, out *Output) {
	c.configureClasses(cfg.Classes)
	c.configureOrganisations(cfg.Organisations)
	c.configureServers(cfg.Servers)
	c.refuseGoneClasses(out)
}

func (c *Core) configureClasses(all []Class) {
	for i := range c.classes {
		c.classes[i].gone = true
	}
	for _, spec := range all {
		i, ok := c.classIndex[spec.Name]
		if !ok {
			i = int32(len(c.classes))
			c.classes = append(c.classes, class{budget: retryBurst})
			c.classIndex[spec.Name] = i
		}
		cl := &c.classes[i]
		cl.Class = spec
		cl.Floor = boundedShare(spec.Floor)
		cl.gone = false
	}
	c.byTier = c.byTier[:0]
	for i := range c.classes {
		c.byTier = append(c.byTier, int32(i))
	}
	slices.SortStableFunc(c.byTier, func(a, b int32) int {
		return cmp.Compare(c.classes[a].Tier, c.classes[b].Tier)
	})
}

// Bounds of an organisation's weight.
const (
	minWeight = 1e-3
	maxWeight = 1e6
)

// boundedWeight maps what is no weight to 1.
func boundedWeight(w float64) float64 {
	if math.IsNaN(w) || w <= 0 {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}

// boundedShare maps what is no share to the nearest one.
func boundedShare(f float64) float64 {
	if math.IsNaN(f) {
		return 0
	}
	return min(max(f, 0), 1)
}

func (c *Core) configureOrganisations(all []Organisation) {
	for i := range c.orgs {
		c.orgs[i].Weight = 1
	}
	for _, spec := range all {
		i := c.organisation(spec.Name)
		c.orgs[i].Weight = boundedWeight(spec.Weight)
	}
}

// organisation returns the row of an organisation, and adds it with weight 1 if
// it is not configured.
func (c *Core) organisation(name string) int32 {
	if i, ok := c.orgIndex[name]; ok {
		return i
	}
	i := int32(len(c.orgs))
	c.orgs = append(c.orgs, organisation{Organisation{Name: name, Weight: 1}})
	c.orgIndex[name] = i
	return i
}

func (c *Core) configureServers(all []Server) {
	for i := range c.servers {
		c.servers[i].gone = true
	}
	c.dropServers(all)
	for _, spec := range all {
		i := c.server(spec.Name)
		s := &c.servers[i]
		if s.Slots != spec.Slots {
			s.ceiling = float64(max(spec.Slots, 1))
			s.growth = growth{top: max(spec.Slots, 1), next: c.now + minGrowPause}
		}
		s.Server = spec
		s.growth.top = max(s.growth.top, 1)
		s.gone = false
	}
	c.recount()
}

// dropServers frees the rows of servers that run nothing and are no longer
// configured. Hints on what they hold may pass to the server that takes the
// row; hints may be wrong.
func (c *Core) dropServers(all []Server) {
	configured := make(map[string]bool, len(all))
	for _, spec := range all {
		configured[spec.Name] = true
	}
	c.unusedServers = c.unusedServers[:0]
	for i := range c.servers {
		s := &c.servers[i]
		if s.inFlight == 0 && !configured[s.Name] {
			delete(c.serverIndex, s.Name)
			*s = server{gone: true}
			c.unusedServers = append(c.unusedServers, int32(i))
		}
	}
}

// server returns the row of a server, and adds it as gone if it is not
// configured.
func (c *Core) server(name string) int32 {
	if i, ok := c.serverIndex[name]; ok {
		return i
	}
	i := c.newServer()
	c.servers[i] = server{Server: Server{Name: name}, gone: true, ceiling: 1}
	c.serverIndex[name] = i
	return i
}

func (c *Core) newServer() int32 {
	if n := len(c.unusedServers); n > 0 {
		i := c.unusedServers[n-1]
		c.unusedServers = c.unusedServers[:n-1]
		return i
	}
	c.servers = append(c.servers, server{})
	return int32(len(c.servers) - 1)
}

// recount sums limits and requests in flight over the servers that take work.
func (c *Core) recount() {
	c.capacity, c.busy = 0, 0
	for i := range c.servers {
		s := &c.servers[i]
		if s.takesWork() {
			c.capacity += s.limit()
			c.busy += s.inFlight
		}
	}
}

func (c *Core) refuseGoneClasses(out *Output) {
	for i := range c.classes {
		cl := &c.classes[i]
		for cl.gone && cl.waiting > 0 {
			head, _ := c.earliest(cl)
			c.remove(head.row)
			c.refuse(head.row, outcome.UnknownClass, out)
		}
	}
}
