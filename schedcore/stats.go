package schedcore

import "bergamotpin.example/bergamotpin/outcome"

// ReasonCounts counts by reason.
type ReasonCounts [outcome.ReasonCount]uint64

// Of returns the count of a reason.
func (c ReasonCounts) Of(r outcome.Reason) uint64 {
	if int(r) >= len(c) {
		return 0
	}
	return c[r]
}

// Stats counts what a core did since it was made.
type Stats struct {
	Ticks   uint64
	Tickets uint64
	Grants  uint64
	// Refusals counts final answers by reason, Unknown those among them whose
	// request may have run.
	Refusals ReasonCounts
	Unknown  uint64
	// Retries counts grants after the first by the reason for them.
	Retries     ReasonCounts
	Continued   uint64
	Preemptions uint64
	Referrals   uint64
	Completed   uint64
	Withdrawn   uint64
	// Stale counts events that were dropped: unknown or ended requests and
	// attempts, repetitions, senseless values.
	Stale uint64
	// Ejections counts how often a server was taken out of the pool, Probes the
	// requests sent to servers that were.
	Ejections uint64
	Probes    uint64
	// LimitProbes counts requests granted beyond a server's limit to learn whether
	// it may rise.
	LimitProbes uint64
	// HeapMoves counts the steps of the queues' heaps, the part of a tick's work
	// that grows with the number of waiting requests.
	HeapMoves uint64
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// ClassGauge is the present state of a class.
type ClassGauge struct {
	Class   string
	Tier    int
	Waiting int
	Running int
}

// ServerGauge is the present state of a backend server.
type ServerGauge struct {
	Server   string
	Limit    int
	InFlight int
	Ejected  bool
	Drain    bool
}

// Gauges is the present state of a core.
type Gauges struct {
	Waiting  int
	Running  int
	Capacity int
	Classes  []ClassGauge
	Servers  []ServerGauge
}

// Gauges fills g with the present state and keeps its memory.
func (c *Core) Gauges(g *Gauges) {
	g.Waiting = c.waiting
	g.Running = len(c.running)
	g.Capacity = c.capacity
	g.Classes = g.Classes[:0]
	for i := range c.classes {
		cl := &c.classes[i]
		if !cl.gone || cl.running > 0 {
			g.Classes = append(g.Classes, ClassGauge{
				Class: cl.Name, Tier: cl.Tier, Waiting: cl.waiting, Running: cl.running,
			})
		}
	}
	g.Servers = g.Servers[:0]
	for i := range c.servers {
		s := &c.servers[i]
		if !s.gone || s.inFlight > 0 {
			g.Servers = append(g.Servers, ServerGauge{
				Server: s.Name, Limit: s.limit(), InFlight: s.inFlight, Ejected: s.aside, Drain: s.Drain || s.gone,
			})
		}
	}
}
