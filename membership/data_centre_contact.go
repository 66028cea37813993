package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// contactsPerDataCentre is how many instances of another data centre are
	// kept as contacts.
	contactsPerDataCentre = 3
	// unreachableAfter is how many contacts in a row must fail.
	unreachableAfter = 3
)

// contact keeps the tie to another data centre.
type contact struct {
	addresses []netip.AddrPort
	next      int
	failures  int
	heard     time.Time
}

// contactNext exchanges a heartbeat with the data centre whose turn it is: the
// one that was asked the longest ago.
func (g *Group) contactNext(ctx context.Context) {
	dataCentre, to, ok := g.nextContact()
	if !ok {
		return
	}
	if g.exchange(ctx, to, g.opts.ContactTimeout) {
		g.noteHeard(dataCentre)
		return
	}
	if ctx.Err() == nil {
		g.noteSilent(dataCentre, to)
	}
}

func (g *Group) nextContact() (dataCentre string, to netip.AddrPort, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.otherDataCentres()
	if len(names) == 0 {
		return "", netip.AddrPort{}, false
	}
	dataCentre = names[0]
	for _, name := range names {
		if g.contacts[name].next < g.contacts[dataCentre].next {
			dataCentre = name
		}
	}
	c := g.contacts[dataCentre]
	g.refill(c, dataCentre)
	if len(c.addresses) == 0 {
		c.next++
		return "", netip.AddrPort{}, false
	}
	to = c.addresses[c.next%len(c.addresses)]
	c.next++
	return dataCentre, to, true
}

// otherDataCentres returns the names of those that have instances and makes
// sure that each has a contact. The caller holds mu.
func (g *Group) otherDataCentres() []string {
	var names []string
	for _, e := range g.table.entries {
		if e.DataCentre != g.opts.DataCentre && !slices.Contains(names, e.DataCentre) {
			names = append(names, e.DataCentre)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if g.contacts[name] == nil {
			g.contacts[name] = &contact{heard: time.Now(), next: g.turns()}
		}
	}
	return names
}

// turns returns the least turn of the contacts, at which a new one starts.
func (g *Group) turns() int {
	least := 0
	for _, c := range g.contacts {
		if least == 0 || c.next < least {
			least = c.next
		}
	}
	return least
}

// refill drops addresses that are no live members and adds others.
func (g *Group) refill(c *contact, dataCentre string) {
	c.addresses = slices.DeleteFunc(c.addresses, func(a netip.AddrPort) bool {
		e, ok := g.table.entries[a]
		return !ok || e.Condition == dead
	})
	if len(c.addresses) >= contactsPerDataCentre {
		return
	}
	for _, a := range g.peers(dataCentre, func(e *entry) bool { return e.Condition != dead }) {
		if len(c.addresses) < contactsPerDataCentre && !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// noteHeard takes a message of another data centre as proof that it is
// reachable.
func (g *Group) noteHeard(dataCentre string) {
	if dataCentre == g.opts.DataCentre {
		return
	}
	g.update(func(now time.Time) {
		c := g.contacts[dataCentre]
		if c == nil {
			return
		}
		c.heard = now
		c.failures = 0
		i := slices.Index(g.unreachable, dataCentre)
		if i >= 0 {
			g.unreachable = slices.Delete(g.unreachable, i, i+1)
			g.table.revision++
			g.opts.Log.Info("data centre reachable", "dataCentre", dataCentre)
		}
	})
}

// noteSilent drops a contact. A data centre is unreachable after several in a
// row failed, and its instances are dead once nothing came for the retention.
func (g *Group) noteSilent(dataCentre string, silent netip.AddrPort) {
	g.counters.add(ContactFailed)
	g.update(func(now time.Time) {
		c := g.contacts[dataCentre]
		c.addresses = slices.DeleteFunc(c.addresses, func(a netip.AddrPort) bool { return a == silent })
		c.failures++
		if c.failures >= unreachableAfter && !slices.Contains(g.unreachable, dataCentre) {
			g.unreachable = append(g.unreachable, dataCentre)
			g.table.revision++
			g.opts.Log.Warn("data centre unreachable", "dataCentre", dataCentre)
		}
		if now.Sub(c.heard) >= g.opts.Retention {
			g.table.killAll(dataCentre, now)
		}
	})
}
