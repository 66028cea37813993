package catalog

import (
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

// PeerServers is what an instance teaches its peers about servers.
type PeerServers struct {
	// Records holds the records of all servers, tombstones included, and then the departures.
	Records []Record
	// Complete is the version up to which Records reflects all changes of servers: a server
	// without a record was deleted after all that was written of it up to this version. It is
	// the zero version if that is known of no version.
	Complete objects.Version
}

// Servers returns what this instance teaches its peers about servers.
func (c *Catalog) Servers() PeerServers {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]Record, 0, len(c.servers)+len(c.departures))
	for _, r := range c.servers {
		records = append(records, r)
	}
	for _, d := range c.departures {
		d.record.Hides = d.hides.Revision
		records = append(records, d.record)
	}
	return PeerServers{Records: records, Complete: c.complete}
}

// MergePeer merges what a peer teaches. A known server of which the peer has no record
// counts as deleted, unless its record is newer than what the peer's records reflect.
// The deletion may be known from the absence of a record alone: an instance that learnt of
// the deletion can end before it passes that on, and the one that takes its place has never
// known the server.
func (c *Catalog) MergePeer(p PeerServers, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.enterEraOf(p.Records, now)
	changes = append(changes, c.enterEra(p.Complete, now)...)
	records := stampEra(p.Records, c.era)
	after := c.complete
	if p.Complete.Era == c.era {
		records = append(records, c.deletionsOfUnlisted(records, p.Complete)...)
		if p.Complete.After(c.complete) {
			c.complete = p.Complete
		}
	}
	return append(changes, c.merge(records, after, now)...)
}
