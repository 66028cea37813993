package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// departureHold is how long after the beginning of an era a departure of an older era
// holds against the copy's entry. A server that is still leaving has announced it again
// within entryReturnTime. The entry of one that is gone has expired after three missing
// heartbeats, 3.6 s, more. The rest is for a slow store.
const departureHold = 10 * time.Second

// departureSeed sets the hash of a departure apart from that of the record that it holds.
const departureSeed = 0xd3a7

// departure is what this instance knows of a server that was leaving or deleted in an
// older era, or had started again, and that an entry of a newer era lists as ready. Such
// an entry is as old as the copy from which the store came back, so the server gets no new
// requests.
type departure struct {
	record Record
	// startedAtMillis is the start of the process that departed, if the record is not a
	// deletion.
	startedAtMillis int64
	// hides is the version of the entry that the departure holds against.
	hides objects.Version
}

// holdDeparture updates the departure of a server whose known record is about to be
// replaced by a readable entry.
func (c *Catalog) holdDeparture(known, r Record, previous, server BackendServer, now time.Time) {
	d, held := c.departures[r.Name]
	switch {
	case held && d.endsWith(r, server):
		c.dropDeparture(r.Name)
	case held:
		d.hides = r.Version()
		c.departures[r.Name] = d
	case server.Leaving || known.Era >= r.Era || now.Sub(c.eraSince) > departureHold:
	case known.Deleted && r.FromList && (previous.ID == "" || previous.StartedAtMillis >= server.StartedAtMillis):
		// An entry that comes in an event, or that states a later start, was written after
		// the store came back.
		c.addDeparture(departure{record: known, hides: r.Version()})
	case !known.Deleted && previous.showsDepartureOf(server):
		c.addDeparture(departure{record: known, startedAtMillis: server.StartedAtMillis, hides: r.Version()})
	}
}

// showsDepartureOf reports whether the known entry of a server says that the process of
// another entry is leaving, or was followed by another process.
func (known BackendServer) showsDepartureOf(other BackendServer) bool {
	if known.StartedAtMillis == other.StartedAtMillis {
		return known.Leaving
	}
	return known.StartedAtMillis > other.StartedAtMillis
}

// endsWith reports whether a newer entry of the server ends the departure.
func (d departure) endsWith(r Record, server BackendServer) bool {
	if server.Leaving {
		return true
	}
	if d.record.Deleted {
		// Another entry of the same era means that the server is alive.
		return r.Era == d.hides.Era
	}
	return server.StartedAtMillis != d.startedAtMillis
}

// learnDeparture applies a peer's departure, which is older than the known record.
func (c *Catalog) learnDeparture(next *Snapshot, r, known Record, now time.Time) []Change {
	server, ok := next.Servers[r.Name]
	if !ok || known.Deleted || r.Hides == 0 || r.Era >= known.Era || now.Sub(c.eraSince) > departureHold {
		return nil
	}
	held, isHeld := c.departures[r.Name]
	if isHeld && !r.newerThan(held.record) || !isHeld && server.Leaving {
		return nil
	}
	d := departure{record: r, hides: known.Version()}
	if r.Deleted && (r.Hides != known.Revision || !known.FromList) {
		return nil
	}
	if !r.Deleted {
		departed, err := c.decoder.Server(r.Name, r.Spec)
		if err != nil || !departed.showsDepartureOf(server) {
			return nil
		}
		d.startedAtMillis = server.StartedAtMillis
	}
	d.record.Hides = 0
	c.dropDeparture(r.Name)
	c.addDeparture(d)
	server.Leaving = true
	next.Servers[r.Name] = server
	return []Change{{Kind: KindServer, Name: r.Name, Revision: r.Revision, Type: ChangedLeaving}}
}

func (c *Catalog) addDeparture(d departure) {
	c.departures[d.record.Name] = d
	c.digest += departureHash(d.record)
}

func (c *Catalog) dropDeparture(name string) {
	if d, held := c.departures[name]; held {
		delete(c.departures, name)
		c.digest -= departureHash(d.record)
	}
}

// departuresAreOver reports whether there are departures that no longer hold.
func (c *Catalog) departuresAreOver(now time.Time) bool {
	return len(c.departures) > 0 && now.Sub(c.eraSince) > departureHold
}

// endDepartures drops all departures: servers whose entries are still there are alive.
func (c *Catalog) endDepartures(next *Snapshot) []Change {
	var changes []Change
	for name := range c.departures {
		c.dropDeparture(name)
		r := c.servers[name]
		server, err := c.decoder.Server(name, r.Spec)
		if err != nil || r.Deleted {
			continue
		}
		next.Servers[name] = server
		changes = append(changes, Change{Kind: KindServer, Name: name, Revision: r.Revision, Type: changeType(server, true, server)})
	}
	return changes
}

// departureHash is a departure's contribution to the digest.
func departureHash(r Record) uint64 {
	version := rendezvous.Mix(uint64(r.Revision) ^ rendezvous.Mix(uint64(r.Era)))
	return rendezvous.Mix(xxhash.Sum64String(r.Name) ^ rendezvous.Mix(version^departureSeed))
}
