package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// contactsPerDataCentre is how many instances of each other data centre are
	// kept as contacts.
	contactsPerDataCentre = 3
	// failuresToUnreachable is the number of consecutive unanswered heartbeats
	// to contacts after which a data centre counts as unreachable.
	failuresToUnreachable = 3
)

// contactSet holds this instance's contacts in one of the other data centres.
type contactSet struct {
	addresses    []netip.AddrPort
	turns        int       // how often this data centre was chosen for a heartbeat
	failures     int       // consecutive heartbeats without a response
	lastReceived time.Time // when a message last arrived from the data centre
}

// contactNextDataCentre exchanges a heartbeat with a contact in the data centre
// that has had the fewest turns.
func (g *Group) contactNextDataCentre(ctx context.Context) {
	dataCentre, to, ok := g.nextContact()
	if !ok {
		return
	}
	if g.exchangeHeartbeat(ctx, to, g.opts.ContactTimeout) {
		g.recordContact(dataCentre)
		return
	}
	if ctx.Err() == nil {
		g.recordContactFailure(dataCentre, to)
	}
}

// nextContact chooses the data centre with the fewest turns and the next of its
// contacts. The result ok is false if there is no contact.
func (g *Group) nextContact() (dataCentre string, to netip.AddrPort, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.otherDataCentres()
	if len(names) == 0 {
		return "", netip.AddrPort{}, false
	}
	dataCentre = names[0]
	for _, name := range names {
		if g.contacts[name].turns < g.contacts[dataCentre].turns {
			dataCentre = name
		}
	}
	c := g.contacts[dataCentre]
	g.refillContacts(c, dataCentre)
	if len(c.addresses) == 0 {
		c.turns++
		return "", netip.AddrPort{}, false
	}
	to = c.addresses[c.turns%len(c.addresses)]
	c.turns++
	return dataCentre, to, true
}

// otherDataCentres returns the names of the other data centres that have
// instances, and makes sure that each has a contact set. The caller holds mu.
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
			g.contacts[name] = &contactSet{lastReceived: time.Now(), turns: g.leastTurns()}
		}
	}
	return names
}

// leastTurns returns the lowest number of turns of any contact set. A new set
// starts with this number, so that its data centre does not get every turn
// until it has caught up.
func (g *Group) leastTurns() int {
	least := 0
	for _, c := range g.contacts {
		if least == 0 || c.turns < least {
			least = c.turns
		}
	}
	return least
}

// refillContacts removes contacts that are no longer members or are dead. It
// then adds random instances of the data centre that are not dead, up to
// contactsPerDataCentre.
func (g *Group) refillContacts(c *contactSet, dataCentre string) {
	c.addresses = slices.DeleteFunc(c.addresses, func(a netip.AddrPort) bool {
		e, ok := g.table.entries[a]
		return !ok || e.Condition == dead
	})
	if len(c.addresses) >= contactsPerDataCentre {
		return
	}
	for _, a := range g.shuffledAddresses(dataCentre, func(e *memberEntry) bool { return e.Condition != dead }) {
		if len(c.addresses) < contactsPerDataCentre && !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// recordContact marks a data centre reachable after a message arrived from it.
func (g *Group) recordContact(dataCentre string) {
	if dataCentre == g.opts.DataCentre {
		return
	}
	g.update(func(now time.Time) {
		c := g.contacts[dataCentre]
		if c == nil {
			return
		}
		c.lastReceived = now
		c.failures = 0
		i := slices.Index(g.unreachable, dataCentre)
		if i >= 0 {
			g.unreachable = slices.Delete(g.unreachable, i, i+1)
			g.table.revision++
			g.opts.Log.Info("data centre reachable", "dataCentre", dataCentre)
		}
	})
}

// recordContactFailure drops a contact that did not respond. After
// failuresToUnreachable consecutive failures, the data centre becomes
// unreachable. If nothing was received from the data centre for the retention
// time, its instances are marked dead.
func (g *Group) recordContactFailure(dataCentre string, failed netip.AddrPort) {
	g.counters.add(ContactFailed)
	g.update(func(now time.Time) {
		c := g.contacts[dataCentre]
		c.addresses = slices.DeleteFunc(c.addresses, func(a netip.AddrPort) bool { return a == failed })
		c.failures++
		if c.failures >= failuresToUnreachable && !slices.Contains(g.unreachable, dataCentre) {
			g.unreachable = append(g.unreachable, dataCentre)
			g.table.revision++
			g.opts.Log.Warn("data centre unreachable", "dataCentre", dataCentre)
		}
		if now.Sub(c.lastReceived) >= g.opts.Retention {
			g.table.markDataCentreDead(dataCentre, now)
		}
	})
}
