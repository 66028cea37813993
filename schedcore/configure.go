package schedcore

import (
	"cmp"
	"math"
	"slices"

	"bergamotpin.example/bergamotpin/outcome"
)

// configure replaces the classes, organisations and servers. Table entries keep
// their indexes and learned values. An entry that is no longer configured is
// marked as removed; its running requests go on.
func (c *Core) configure(cfg *Config, out *Output) {
	c.configureClasses(cfg.Classes)
	c.configureOrganisations(cfg.Organisations)
	c.configureServers(cfg.Servers)
	c.refuseRemovedClasses(out)
}

func (c *Core) configureClasses(classes []Class) {
	for i := range c.classes {
		c.classes[i].removed = true
	}
	for _, cfg := range classes {
		i, ok := c.classIndex[cfg.Name]
		if !ok {
			i = int32(len(c.classes))
			c.classes = append(c.classes, class{retryBudget: retryBurst})
			c.classIndex[cfg.Name] = i
		}
		cl := &c.classes[i]
		cl.Class = cfg
		cl.Floor = clampShare(cfg.Floor)
		cl.removed = false
	}
	c.classesByTier = c.classesByTier[:0]
	for i := range c.classes {
		c.classesByTier = append(c.classesByTier, int32(i))
	}
	slices.SortStableFunc(c.classesByTier, func(a, b int32) int {
		return cmp.Compare(c.classes[a].Tier, c.classes[b].Tier)
	})
}

// Bounds of an organisation's weight.
const (
	minWeight = 1e-3
	maxWeight = 1e6
)

// clampWeight returns the nearest valid weight, or 1 if w is not positive.
func clampWeight(w float64) float64 {
	if math.IsNaN(w) || w <= 0 {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}

// clampShare returns the nearest share between 0 and 1.
func clampShare(f float64) float64 {
	if math.IsNaN(f) {
		return 0
	}
	return min(max(f, 0), 1)
}

func (c *Core) configureOrganisations(organisations []Organisation) {
	for i := range c.organisations {
		c.organisations[i].Weight = 1
	}
	for _, cfg := range organisations {
		i := c.organisationIndexOf(cfg.Name)
		c.organisations[i].Weight = clampWeight(cfg.Weight)
	}
}

// organisationIndexOf returns an organisation's index. A name that is not in
// the table is added with weight 1.
func (c *Core) organisationIndexOf(name string) int32 {
	if i, ok := c.organisationIndex[name]; ok {
		return i
	}
	i := int32(len(c.organisations))
	c.organisations = append(c.organisations, organisation{Organisation{Name: name, Weight: 1}})
	c.organisationIndex[name] = i
	return i
}

func (c *Core) configureServers(servers []Server) {
	for i := range c.servers {
		c.servers[i].removed = true
	}
	c.dropRemovedServers(servers)
	for _, cfg := range servers {
		i := c.serverIndexOf(cfg.Name)
		s := &c.servers[i]
		if s.Slots != cfg.Slots {
			s.learnedLimit = float64(max(cfg.Slots, 1))
			s.limitProber = limitProber{maxLimit: max(cfg.Slots, 1), nextProbeAt: c.now + minLimitProbeBackoff}
		}
		s.Server = cfg
		s.limitProber.maxLimit = max(s.limitProber.maxLimit, 1)
		s.removed = false
	}
	c.recountCapacity()
}

// dropRemovedServers frees the entries of servers that are no longer configured
// and have no running requests. The prefix table is not cleaned, so a new server
// inherits the prefixes that are recorded under its index. This is harmless,
// because entries of the prefix table may be wrong in any case.
func (c *Core) dropRemovedServers(servers []Server) {
	configured := make(map[string]bool, len(servers))
	for _, cfg := range servers {
		configured[cfg.Name] = true
	}
	c.freeServerIndexes = c.freeServerIndexes[:0]
	for i := range c.servers {
		s := &c.servers[i]
		if s.inFlight == 0 && !configured[s.Name] {
			delete(c.serverIndex, s.Name)
			*s = server{removed: true}
			c.freeServerIndexes = append(c.freeServerIndexes, int32(i))
		}
	}
}

// serverIndexOf returns a server's index. If the name is not in the table,
// serverIndexOf adds an entry whose field removed is true. Such an entry counts
// the requests claimed on the server, but the server gets no grants.
func (c *Core) serverIndexOf(name string) int32 {
	if i, ok := c.serverIndex[name]; ok {
		return i
	}
	i := c.newServerIndex()
	c.servers[i] = server{Server: Server{Name: name}, removed: true, learnedLimit: 1}
	c.serverIndex[name] = i
	return i
}

func (c *Core) newServerIndex() int32 {
	if n := len(c.freeServerIndexes); n > 0 {
		i := c.freeServerIndexes[n-1]
		c.freeServerIndexes = c.freeServerIndexes[:n-1]
		return i
	}
	c.servers = append(c.servers, server{})
	return int32(len(c.servers) - 1)
}

// recountCapacity sums limits and requests in flight over the servers that
// accept work.
func (c *Core) recountCapacity() {
	c.capacity, c.busy = 0, 0
	for i := range c.servers {
		s := &c.servers[i]
		if s.acceptsWork() {
			c.capacity += s.limit()
			c.busy += s.inFlight
		}
	}
}

func (c *Core) refuseRemovedClasses(out *Output) {
	for i := range c.classes {
		cl := &c.classes[i]
		for cl.removed && cl.waiting > 0 {
			head, _ := c.earliestStart(cl)
			c.dequeue(head.request)
			c.refuse(head.request, outcome.UnknownClass, out)
		}
	}
}
