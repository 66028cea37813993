package catalog

import (
	"cmp"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

// entryReturnTime is how long the platform says that a server's entry may take to be back
// after the store is. An entry that is missing for longer is gone.
const entryReturnTime = 2 * time.Second

// ConfigurationVersion orders configurations: by the operator's version, which holds
// across the store's eras, and then by the store's version.
type ConfigurationVersion struct {
	Operator int64
	Store    objects.Version
}

// After reports whether v is newer than other.
func (v ConfigurationVersion) After(other ConfigurationVersion) bool {
	return cmp.Or(cmp.Compare(v.Operator, other.Operator), v.Store.Compare(other.Store)) > 0
}

// Digest says which records a catalog has.
type Digest struct {
	// Era is the newest era of the store that the catalog knows of.
	Era           objects.Era
	Configuration ConfigurationVersion
	// Servers is the sum of the hashes of the servers' records.
	Servers uint64
}

// Digest returns the catalog's digest. Catalogs with the same records, of which none is
// to be counted as deleted yet, have the same digest.
func (c *Catalog) Digest() Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Digest{
		Era: c.era, Servers: c.digest,
		Configuration: ConfigurationVersion{Operator: c.snapshot.Load().Version, Store: c.configuration.Version()},
	}
}

// Era returns the newest era of the store that the catalog knows of.
func (c *Catalog) Era() objects.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// EnterEra notes that the store has reached a version, and returns what changed if that
// begins an era.
func (c *Catalog) EnterEra(version objects.Version, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enterEra(version, now)
}

func (c *Catalog) enterEra(version objects.Version, now time.Time) []Change {
	if version.Era <= c.era {
		return nil
	}
	previous := objects.Version{Era: c.era, Revision: max(c.complete.Revision, c.configuration.Revision)}
	if c.era == objects.EraUnstated {
		c.stampUnstated()
	}
	c.era, c.eraSince = version.Era, now
	c.sumDigest()
	if len(c.servers) == 0 && c.configuration.Revision == 0 {
		// An instance that has just started learns its first era.
		return nil
	}
	return []Change{{Type: ChangedEra, Previous: previous, Current: version}}
}

// stampUnstated sets the era of what was learnt before any era was stated. Without it, it
// would mean the era of each peer that receives it.
func (c *Catalog) stampUnstated() {
	for name, r := range c.servers {
		r.Era = objects.EraBeforeFirst
		c.servers[name] = r
	}
	if c.configuration.Revision > 0 {
		c.configuration.Era = objects.EraBeforeFirst
	}
	c.complete.Era = objects.EraBeforeFirst
}

// enterEraOfStore enters the era of a response of the store, and sets it if none was
// stated. It returns false if the response is older than the era that is known.
func (c *Catalog) enterEraOfStore(version *objects.Version, now time.Time) ([]Change, bool) {
	if version.Era == objects.EraUnstated {
		version.Era = c.era
	}
	return c.enterEra(*version, now), version.Era == c.era
}

// stampEra returns the records with an era for those without.
func stampEra(records []Record, era objects.Era) []Record {
	records = slices.Clone(records)
	for n := range records {
		if records[n].Era == objects.EraUnstated {
			records[n].Era = era
		}
	}
	return records
}

// enterEraOf enters the newest era of the records.
func (c *Catalog) enterEraOf(records []Record, now time.Time) []Change {
	var newest objects.Version
	for _, r := range records {
		if r.Era > newest.Era {
			newest = r.Version()
		}
	}
	return c.enterEra(newest, now)
}

// unsettled reports whether settle has something to do.
func (c *Catalog) unsettled(now time.Time) bool {
	return c.missingAreGone(now) || c.departuresAreOver(now)
}

// missingAreGone reports whether entries of an older era have to count as deleted. Only an
// instance that has a list of the era can know that. Others learn it from such a one.
func (c *Catalog) missingAreGone(now time.Time) bool {
	return c.settled != c.era && c.complete.Era == c.era && now.Sub(c.eraSince) >= entryReturnTime
}

// settle applies what the passing of time since the beginning of the era changes.
func (c *Catalog) settle(next *Snapshot, now time.Time) []Change {
	var changes []Change
	if c.missingAreGone(now) {
		c.settled = c.era
		for name, known := range c.servers {
			if known.Era < c.era && !known.Deleted {
				gone := Record{Kind: KindServer, Name: name, Revision: c.complete.Revision, Era: c.era, Deleted: true}
				changes = append(changes, c.mergeServer(next, gone, objects.Version{}, now)...)
			}
		}
	}
	if c.departuresAreOver(now) {
		changes = append(changes, c.endDepartures(next)...)
	}
	return changes
}
