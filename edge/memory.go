package edge

import (
	"cmp"
	"time"

	"bergamotpin.example/bergamotpin/callerconn"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/settings"
)

const (
	// restBytes is the memory that the process needs without any caller: its program, the
	// catalog, and what it tells other instances.
	restBytes = 40 << 20
	// callerFraction is the fraction of the remaining memory that is held for callers, and
	// connectionFraction the part of it that connections may take. What is left is for the
	// garbage that the collector has not found yet: with memoryFraction and heapGrowth, the
	// collector keeps what is held and its garbage below the allowed memory.
	callerFraction     = 0.6
	connectionFraction = 0.2
	// minCallerFraction is the fraction of all memory that is held for callers at least, for
	// processes whose memory is little more than restBytes.
	minCallerFraction = 0.1
	// ownDescriptors is how many descriptors are kept for files, the store, other instances and
	// listeners. serverFraction is the fraction of the others that is kept for backend servers:
	// each request that is served takes a connection to one.
	ownDescriptors = 200
	serverFraction = 0.5
	// minConnections is the number of connections that callers may have in any case.
	minConnections = 16
	// headMargin is how much longer than the operator's limit a head may be as it is sent: the
	// limit counts the method, the path and the fields without the spaces around them.
	headMargin = 4 << 10
	// shortageQuiet is how long nothing must have been refused until a shortage counts as over.
	shortageQuiet = 5 * time.Second
)

// callerMemory returns how much memory may be held for callers, in bytes.
func callerMemory(s platform.Settings) int64 {
	total := float64(s.MemoryBytes)
	return int64(max(callerFraction*(total-restBytes), minCallerFraction*total))
}

// newMemory returns the account of what is held for callers.
func newMemory(s platform.Settings, o settings.EdgeCallers) *memoryaccount.Account {
	wait := cmp.Or(o.MemoryWait, settings.DefaultEdge().Callers.MemoryWait)
	return memoryaccount.New(callerMemory(s), wait.Std())
}

// maxConnections returns how many connections callers may have open if the options don't state it.
func maxConnections(s platform.Settings) int {
	descriptors := (1 - serverFraction) * float64(s.Descriptors-ownDescriptors)
	memory := connectionFraction / callerFraction * float64(callerMemory(s)) / callerconn.ConnectionCost
	return max(int(min(descriptors, memory)), minConnections)
}

// callerBounds returns the bounds of the callers' connections.
func (i *Instance) callerBounds(s platform.Settings) callerconn.Bounds {
	o := i.options.Product.Callers
	return callerconn.Bounds{
		Connections:           cmp.Or(o.MaxConnections, maxConnections(s)),
		ConnectionsPerAddress: o.MaxConnectionsPerAddress,
		HeadBytes:             i.maxHeadBytes,
		Account:               i.memory,
	}
}

// maxHeadBytes returns the size of the largest head that is read, or 0 if the operator's limit is
// not known yet.
func (i *Instance) maxHeadBytes() int {
	if limit := i.catalog.Snapshot().Limits.HeaderBytes; limit > 0 {
		return limit + headMargin
	}
	return 0
}

// shortage tells whether callers were refused lately for want of memory or connections.
type shortage struct {
	refusals int64
	lastAt   time.Time
	short    bool
}

// update takes in the number of refusals since the start. It reports whether the state changed.
func (s *shortage) update(refusals int64, now time.Time) bool {
	if refusals > s.refusals {
		s.refusals, s.lastAt = refusals, now
	}
	short := !s.lastAt.IsZero() && now.Sub(s.lastAt) < shortageQuiet
	changed := short != s.short
	s.short = short
	return changed
}

// reportShortage logs when callers begin to be refused for want of memory or connections, and when
// this is over.
func (i *Instance) reportShortage(now time.Time) {
	usage, refusals := i.memory.Usage(), i.connections.Refusals()
	total := refusals.Total + refusals.Address + refusals.MadeRoom
	for _, n := range usage.Refused {
		total += n
	}
	if !i.shortage.update(total, now) {
		return
	}
	i.log.StateChanges.Warn("callers are refused for want of memory or connections", "short", i.shortage.short,
		"capacity_kb", usage.Capacity>>10, "used_kb", usage.Used>>10, "waiting", usage.Waiting,
		"bodies_kb", usage.Held[memoryaccount.Bodies]>>10, "responses_kb", usage.Held[memoryaccount.Responses]>>10,
		"heads_kb", usage.Held[memoryaccount.Heads]>>10, "connections", i.connections.Count(), "refusals", total)
}

// memoryReadings returns what is held for callers and what was refused.
func (i *Instance) memoryReadings() []metrics.Reading {
	usage, refusals := i.memory.Usage(), i.connections.Refusals()
	out := []metrics.Reading{
		metrics.GaugeReading("memory_capacity_bytes", "", "", usage.Capacity),
		metrics.GaugeReading("memory_waiting", "", "", int64(usage.Waiting)),
		metrics.GaugeReading("caller_connections", "", "", int64(i.connections.Count())),
		metrics.CounterReading("connections_refused", "reason", "total", refusals.Total),
		metrics.CounterReading("connections_refused", "reason", "address", refusals.Address),
		metrics.CounterReading("connections_refused", "reason", "made_room", refusals.MadeRoom),
		metrics.CounterReading("heads_refused", "reason", "too_large", refusals.HeadTooLarge),
		metrics.CounterReading("heads_refused", "reason", "memory_short", refusals.HeadShort),
	}
	for _, kind := range memoryaccount.Kinds() {
		out = append(out,
			metrics.GaugeReading("memory_held_bytes", "kind", kind.String(), usage.Held[kind]),
			metrics.CounterReading("memory_refusals", "kind", kind.String(), usage.Refused[kind]))
	}
	return out
}
