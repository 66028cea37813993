package catalog

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// tombstoneRetention is how long the record of a deleted server is kept, so that
// an instance that missed the deletion learns of it.
const tombstoneRetention = 2 * time.Minute

// Change is one change that a merge made to the catalog.
type Change struct {
	Kind     RecordKind
	Name     string
	Revision int64
	// Type is one of the Changed constants.
	Type string
	// Version is the version of the configuration. It is set only for ChangedInForce.
	Version int64
	// Err says why a record could not be decoded.
	Err error
	// Previous and Current are the store's versions before and after a change of its
	// era. They are set only for ChangedEra.
	Previous, Current objects.Version
}

// Types of changes. ChangedInForce refers to a configuration; ChangedAvailable,
// ChangedLeaving, ChangedEntryDeleted (the entry was deleted) and
// ChangedRestarted refer to a server; ChangedUnreadable refers to a record of
// either kind; ChangedEra refers to the store: it came back from an older copy.
const (
	ChangedInForce      = "in_force"
	ChangedAvailable    = "ready"
	ChangedLeaving      = "leaving"
	ChangedEntryDeleted = "gone"
	ChangedRestarted    = "restarted"
	ChangedUnreadable   = "unreadable"
	ChangedEra          = "era"
)

// Catalog holds the records of one instance. It is safe for concurrent use.
type Catalog struct {
	decoder  Decoder
	snapshot atomic.Pointer[Snapshot]

	mu            sync.Mutex
	configuration Record
	servers       map[string]Record
	// deletedAt holds the time at which the deletion of each deleted server was merged.
	deletedAt map[string]time.Time
	// complete is a version up to which all changes of servers are known, from the store or
	// from a peer. If a record of an unknown server is not above this version, the server was
	// deleted after that record was written.
	complete objects.Version
	// digest is the sum of the hashes of servers and departures.
	digest uint64
	// era is the newest era of the store that is known, and eraSince the time at which it
	// was learnt. settled is the last era in which missing entries were counted as
	// deleted.
	era, settled objects.Era
	eraSince     time.Time
	departures   map[string]departure
}

// New returns an empty catalog.
func New(d Decoder) *Catalog {
	c := &Catalog{
		decoder: d, servers: make(map[string]Record), deletedAt: make(map[string]time.Time),
		departures: make(map[string]departure),
	}
	c.snapshot.Store(newSnapshot())
	return c
}

// Snapshot returns the current state. The caller must not modify it.
func (c *Catalog) Snapshot() *Snapshot { return c.snapshot.Load() }

// ConfigurationRecord returns the record of the configuration in force.
func (c *Catalog) ConfigurationRecord() (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, c.configuration.Revision > 0
}

// Merge merges records from any source, and returns what they and the passing of time
// changed. Merge without records has to be called from time to time.
func (c *Catalog) Merge(records []Record, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.enterEraOf(records, now)
	return append(changes, c.merge(stampEra(records, c.era), c.complete, now)...)
}

// MergeEvents merges the events of a watch on the servers. Together with the records
// merged before, the events must cover every change of a server up to version.
func (c *Catalog) MergeEvents(records []Record, version objects.Version, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes, ok := c.enterEraOfStore(&version, now)
	if !ok {
		return nil
	}
	if version.Era == c.complete.Era {
		c.complete.Revision = max(c.complete.Revision, version.Revision)
	}
	return append(changes, c.merge(stampEra(records, version.Era), objects.Version{}, now)...)
}

// MergeServerList merges a complete list of the servers as of a version. A known
// server that is not in the list counts as deleted, unless its record is newer than the
// list. If its record is of an older era, it counts as deleted once entryReturnTime has
// passed since the beginning of the era.
func (c *Catalog) MergeServerList(records []Record, version objects.Version, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes, ok := c.enterEraOfStore(&version, now)
	if !ok {
		return nil
	}
	records = stampEra(records, version.Era)
	for n := range records {
		records[n].FromList = true
	}
	records = append(records, c.deletionsOfUnlisted(records, version)...)
	if version.After(c.complete) {
		c.complete = version
	}
	return append(changes, c.merge(records, objects.Version{}, now)...)
}

// deletionsOfUnlisted returns a deletion for each known server that a complete list as of a
// version lacks. A server whose record is newer than the list, or of another era, has none.
// Records of another era and deletions are not part of the list.
func (c *Catalog) deletionsOfUnlisted(list []Record, version objects.Version) []Record {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		if !r.Deleted && r.Era == version.Era {
			listed[r.Name] = true
		}
	}
	var deletions []Record
	for name, known := range c.servers {
		if !listed[name] && !known.Deleted && known.Era == version.Era && known.Revision <= version.Revision {
			deletions = append(deletions, Record{Kind: KindServer, Name: name, Revision: version.Revision, Era: version.Era, Deleted: true})
		}
	}
	return deletions
}

// merge applies each record that is newer than the known one. A record of an unknown
// server is applied only if its version is above after.
func (c *Catalog) merge(records []Record, after objects.Version, now time.Time) []Change {
	if len(records) == 0 && !c.unsettled(now) {
		return nil
	}
	var changes []Change
	next := *c.snapshot.Load()
	next.Servers = maps.Clone(next.Servers)
	for _, r := range records {
		switch r.Kind {
		case KindConfiguration:
			changes = append(changes, c.mergeConfiguration(&next, r)...)
		case KindServer:
			changes = append(changes, c.mergeServer(&next, r, after, now)...)
		}
	}
	// After the records, because these may be what was still missing.
	changes = append(changes, c.settle(&next, now)...)
	if len(changes) == 0 {
		return nil
	}
	c.dropTombstones(&next, now)
	next.setServers(next.Servers)
	c.snapshot.Store(&next)
	return changes
}

func (c *Catalog) mergeConfiguration(next *Snapshot, r Record) []Change {
	if r.Deleted || r.Era == c.configuration.Era && r.Revision <= c.configuration.Revision {
		return nil
	}
	change := Change{Kind: r.Kind, Name: r.Name, Revision: r.Revision}
	cfg, err := c.decoder.Configuration(r.Spec)
	if err != nil {
		change.Type, change.Err = ChangedUnreadable, err
		return []Change{change}
	}
	known := ConfigurationVersion{Operator: next.Version, Store: c.configuration.Version()}
	if next.Ready && !(ConfigurationVersion{Operator: cfg.Version, Store: r.Version()}).After(known) {
		return nil
	}
	c.configuration = r
	next.setConfiguration(cfg, r.Revision)
	change.Type, change.Version = ChangedInForce, cfg.Version
	return []Change{change}
}

func (c *Catalog) mergeServer(next *Snapshot, r Record, after objects.Version, now time.Time) []Change {
	known, exists := c.servers[r.Name]
	if exists && !r.newerThan(known) {
		return c.learnDeparture(next, r, known, now)
	}
	if !exists && (r.Deleted || !r.Version().After(after)) {
		return nil
	}
	if exists && known.Era < r.Era && r.Era == after.Era && !r.Deleted && !r.Version().After(after) {
		// The list of this era lacked the entry, so it was deleted after it was written.
		return nil
	}
	r.Hides = 0
	c.servers[r.Name] = r
	c.digest += c.hash(r) - c.hash(known)
	previous, existed := next.Servers[r.Name]
	change := Change{Kind: r.Kind, Name: r.Name, Revision: r.Revision}
	if r.Deleted {
		c.deletedAt[r.Name] = now
		c.dropDeparture(r.Name)
		if !existed || previous.EntryMissing {
			return nil
		}
		previous.EntryMissing, previous.MissingSince = true, now
		next.Servers[r.Name] = previous
		change.Type = ChangedEntryDeleted
		return []Change{change}
	}
	delete(c.deletedAt, r.Name)
	server, err := c.decoder.Server(r.Name, r.Spec)
	if err != nil {
		delete(next.Servers, r.Name)
		c.dropDeparture(r.Name)
		change.Type, change.Err = ChangedUnreadable, err
		return []Change{change}
	}
	if exists {
		c.holdDeparture(known, r, previous, server, now)
	}
	if _, departed := c.departures[r.Name]; departed {
		server.Leaving = true
	}
	next.Servers[r.Name] = server
	change.Type = changeType(previous, existed, server)
	return []Change{change}
}

func changeType(previous BackendServer, existed bool, current BackendServer) string {
	switch {
	case current.Leaving:
		return ChangedLeaving
	case existed && current.StartedAtMillis != previous.StartedAtMillis:
		return ChangedRestarted
	}
	return ChangedAvailable
}

// newerThan compares records by version. A deletion may have the same revision as the
// object that it removed, and then counts as newer.
func (r Record) newerThan(known Record) bool {
	if r.Version() == known.Version() {
		return r.Deleted && !known.Deleted
	}
	return r.Version().After(known.Version())
}

// dropTombstones removes deleted servers from the snapshot after
// MissingEntryGrace. It removes their records after tombstoneRetention, if complete says from
// then on that the servers were deleted.
func (c *Catalog) dropTombstones(next *Snapshot, now time.Time) {
	for name, deletedAt := range c.deletedAt {
		if now.Sub(deletedAt) > MissingEntryGrace {
			delete(next.Servers, name)
		}
		if now.Sub(deletedAt) > tombstoneRetention && !c.servers[name].Version().After(c.complete) {
			delete(c.servers, name)
			delete(c.deletedAt, name)
		}
	}
}

// sumDigest computes the digest anew, because the hashes depend on the era.
func (c *Catalog) sumDigest() {
	c.digest = 0
	for _, r := range c.servers {
		c.digest += c.hash(r)
	}
	for _, d := range c.departures {
		c.digest += departureHash(d.record)
	}
}

// hash is a record's contribution to the digest. That of a record of the newest era does
// not depend on the era, so that instances of the version before, which know no eras, have
// the same digest. Digests are compared together with their eras.
func (c *Catalog) hash(r Record) uint64 {
	h := recordHash(r)
	if h == 0 || r.Era == c.era {
		return h
	}
	return rendezvous.Mix(h ^ rendezvous.Mix(uint64(r.Era)))
}

// recordHash is a record's hash within its era. It is zero for a deleted
// server, so that an instance that never knew the server has the same digest as
// one that saw the deletion.
func recordHash(r Record) uint64 {
	if r.Deleted || r.Revision == 0 {
		return 0
	}
	// The hash must be mixed after the revision comes in: the differences between plain
	// sums are small numbers, which cancel when several records change at once.
	return rendezvous.Mix(xxhash.Sum64String(r.Name) ^ rendezvous.Mix(uint64(r.Revision)))
}
