package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// joinAtOnce is how many addresses a new instance tries at the same time.
const joinAtOnce = 4

// runJoin tries addresses that are no members: seeds, hinted ones, and the
// dead, so that the two sides of a healed partition find each other.
func (g *Group) runJoin(ctx context.Context) {
	for {
		g.join(ctx)
		if !g.sleep(ctx, g.opts.JoinInterval) {
			return
		}
	}
}

func (g *Group) join(ctx context.Context) {
	candidates := g.candidates()
	if len(candidates) == 0 {
		return
	}
	n := 1
	if len(g.View().Members) == 1 {
		n = min(joinAtOnce, len(candidates))
	}
	done := make(chan bool, n)
	for _, to := range candidates[:n] {
		go func() { done <- g.exchange(ctx, to, g.opts.ContactTimeout) }()
	}
	for range n {
		<-done
	}
}

// candidates returns the addresses to try, in random order.
func (g *Group) candidates() []netip.AddrPort {
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
	for _, a := range g.hinted {
		add(a)
	}
	for _, e := range g.table.entries {
		add(e.Address)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	g.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// runHints reads the platform's list, more often while nobody else is known.
func (g *Group) runHints(ctx context.Context) {
	for {
		g.readHints(ctx)
		wait := g.opts.ListInterval
		if len(g.View().Members) == 1 {
			wait = g.opts.JoinInterval
		}
		if !g.sleep(ctx, wait) {
			return
		}
	}
}

func (g *Group) readHints(ctx context.Context) {
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
	g.hinted = addresses
}

// killAll ends the records of a data centre that was silent for the retention.
func (t *table) killAll(dataCentre string, now time.Time) {
	for _, e := range t.entries {
		if e.DataCentre == dataCentre && e.Condition != dead {
			t.kill(e, now)
		}
	}
}

// ofDataCentres returns all records of the data centres that occur in records,
// and the own one.
func (t *table) ofDataCentres(records []record) []record {
	named := make(map[string]bool)
	for _, r := range records {
		named[r.DataCentre] = true
	}
	out := []record{t.self}
	for _, e := range t.entries {
		if named[e.DataCentre] {
			out = append(out, e.record)
		}
	}
	return out
}
