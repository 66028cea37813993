package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// parallelJoins is how many addresses an instance without peers contacts at the
// same time.
const parallelJoins = 4

// runJoin contacts addresses that are not members until ctx ends: seeds,
// addresses of the platform's list, and dead instances. Dead instances are
// contacted so that the two sides of a partition find each other after the
// partition heals.
func (g *Group) runJoin(ctx context.Context) {
	for {
		g.join(ctx)
		if !g.sleepJittered(ctx, g.opts.JoinInterval) {
			return
		}
	}
}

// join contacts one candidate address. While no other instance is known, it
// contacts up to parallelJoins of the candidates in parallel.
func (g *Group) join(ctx context.Context) {
	candidates := g.joinCandidates()
	if len(candidates) == 0 {
		return
	}
	n := 1
	if len(g.View().Members) == 1 {
		n = min(parallelJoins, len(candidates))
	}
	done := make(chan bool, n)
	for _, to := range candidates[:n] {
		go func() { done <- g.exchangeHeartbeat(ctx, to, g.opts.ContactTimeout) }()
	}
	for range n {
		<-done
	}
}

// joinCandidates returns the addresses to contact, in random order.
func (g *Group) joinCandidates() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []netip.AddrPort
	add := func(a netip.AddrPort) {
		e, known := g.table.entries[a]
		if a == g.table.self.Address || slices.Contains(out, a) || known && e.Condition != dead {
			return
		}
		out = append(out, a)
	}
	for _, a := range g.opts.Seeds {
		add(a)
	}
	for _, a := range g.listed {
		add(a)
	}
	for _, e := range g.table.entries {
		add(e.Address)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	g.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// runListReader reads the platform's list of instances at each ListInterval, or
// at each JoinInterval while no other instance is known.
func (g *Group) runListReader(ctx context.Context) {
	for {
		g.readInstanceList(ctx)
		wait := g.opts.ListInterval
		if len(g.View().Members) == 1 {
			wait = g.opts.JoinInterval
		}
		if !g.sleepJittered(ctx, wait) {
			return
		}
	}
}

func (g *Group) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.ListInterval)
	defer cancel()
	listed, err := g.opts.Lister.ListInstances(ctx)
	if err != nil {
		g.counters.add(ListFailed)
		return
	}
	var addresses []netip.AddrPort
	for _, instance := range listed {
		a, err := netip.ParseAddrPort(instance.Address)
		if err == nil {
			addresses = append(addresses, a)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = addresses
}

// markDataCentreDead marks all instances of a data centre dead. It is called if
// nothing was received from the data centre for the retention time.
func (t *memberTable) markDataCentreDead(dataCentre string, now time.Time) {
	for _, e := range t.entries {
		if e.DataCentre == dataCentre && e.Condition != dead {
			t.markDead(e, now)
		}
	}
}

// recordsOfDataCentres returns this instance's record and all records of the
// data centres that occur in records.
func (t *memberTable) recordsOfDataCentres(records []record) []record {
	dataCentres := make(map[string]bool)
	for _, r := range records {
		dataCentres[r.DataCentre] = true
	}
	out := []record{t.self}
	for _, e := range t.entries {
		if dataCentres[e.DataCentre] {
			out = append(out, e.record)
		}
	}
	return out
}
