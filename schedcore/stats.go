package schedcore

import "bergamotpin.example/bergamotpin/outcome"

// ReasonCounts holds a counter for each reason.
type ReasonCounts [outcome.ReasonCount]uint64

// Of returns the count of a reason.
func (c ReasonCounts) Of(r outcome.Reason) uint64 {
	if int(r) >= len(c) {
		return 0
	}
	return c[r]
}

// Stats holds counters that start at zero when the core is created.
type Stats struct {
	Ticks   uint64
	Tickets uint64
	Grants  uint64
	// Refusals counts refusals by reason. UnknownOutcomes counts the refusals
	// of requests that may have run.
	Refusals        ReasonCounts
	UnknownOutcomes uint64
	// Retries counts grants of retries, by the reason for the retry. Continued
	// counts grants of attempts that generate only the rest of an answer.
	Retries     ReasonCounts
	Continued   uint64
	Preemptions uint64
	Referrals   uint64
	Completed   uint64
	Withdrawn   uint64
	// StaleEvents counts dropped events: events for unknown or ended requests
	// and attempts, duplicates, and events with invalid values.
	StaleEvents uint64
	// Ejections counts how often a server was ejected. Probes counts the
	// requests sent to ejected servers.
	Ejections uint64
	Probes    uint64
	// LimitProbes counts limit probes: requests granted beyond a server's limit
	// to learn whether the limit may rise.
	LimitProbes uint64
	// HeapMoves counts moves of entries in the queues' heaps. It is the part
	// of a tick's work that grows with the number of waiting requests.
	HeapMoves uint64
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// ClassGauge is the current state of a class.
type ClassGauge struct {
	Class   string
	Tier    int
	Waiting int
	Running int
}

// ServerGauge is the current state of a backend server.
type ServerGauge struct {
	Server   string
	Limit    int
	InFlight int
	Ejected  bool
	Draining bool
}

// Gauges is the current state of a core.
type Gauges struct {
	Waiting  int
	Running  int
	Capacity int
	Classes  []ClassGauge
	Servers  []ServerGauge
}

// Gauges fills g with the current state and reuses the slices of g.
func (c *Core) Gauges(g *Gauges) {
	g.Waiting = c.waiting
	g.Running = len(c.running)
	g.Capacity = c.capacity
	g.Classes = g.Classes[:0]
	for i := range c.classes {
		cl := &c.classes[i]
		if !cl.removed || cl.running > 0 {
			g.Classes = append(g.Classes, ClassGauge{
				Class: cl.Name, Tier: cl.Tier, Waiting: cl.waiting, Running: cl.running,
			})
		}
	}
	g.Servers = g.Servers[:0]
	for i := range c.servers {
		s := &c.servers[i]
		if !s.removed || s.inFlight > 0 {
			g.Servers = append(g.Servers, ServerGauge{
				Server: s.Name, Limit: s.limit(), InFlight: s.inFlight, Ejected: s.ejected, Draining: s.Draining || s.removed,
			})
		}
	}
}
