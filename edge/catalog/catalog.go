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
}

// Types of changes. ChangedInForce refers to a configuration; ChangedAvailable,
// ChangedLeaving, ChangedEntryDeleted (the entry was deleted) and
// ChangedRestarted refer to a server; ChangedUnreadable refers to a record of
// either kind.
const (
	ChangedInForce      = "in_force"
	ChangedAvailable    = "ready"
	ChangedLeaving      = "leaving"
	ChangedEntryDeleted = "gone"
	ChangedRestarted    = "restarted"
	ChangedUnreadable   = "unreadable"
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
	// completeRevision is a revision up to which all server records are known. If a
	// record of an unknown server is not above this revision, the server was deleted
	// after that record was written.
	completeRevision int64
	// digest is the sum of recordHash over servers.
	digest uint64
}

// New returns an empty catalog.
func New(d Decoder) *Catalog {
	c := &Catalog{decoder: d, servers: make(map[string]Record), deletedAt: make(map[string]time.Time)}
	c.snapshot.Store(newSnapshot())
	return c
}

// Snapshot returns the current state. The caller must not modify it.
func (c *Catalog) Snapshot() *Snapshot { return c.snapshot.Load() }

// Digest returns the configuration's revision and a digest of the servers'
// records. Catalogs with the same records have the same digest.
func (c *Catalog) Digest() (revision int64, servers uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration.Revision, c.digest
}

// ConfigurationRecord returns the record of the configuration in force.
func (c *Catalog) ConfigurationRecord() (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, c.configuration.Revision > 0
}

// ServerRecords returns the records of all servers, tombstones included.
func (c *Catalog) ServerRecords() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]Record, 0, len(c.servers))
	for _, r := range c.servers {
		records = append(records, r)
	}
	return records
}

// Merge merges records from any source and returns what changed.
func (c *Catalog) Merge(records []Record, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.merge(records, c.completeRevision, now)
}

// MergeEvents merges the events of a watch on the servers. Together with the records
// merged before, the events must cover every change of a server up to version.
func (c *Catalog) MergeEvents(records []Record, version objects.Version, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.merge(records, 0, now)
	c.completeRevision = max(c.completeRevision, version.Revision)
	return changes
}

// MergeServerList merges a complete list of the servers as of a version. A known
// server that is not in the list counts as deleted, unless its record is newer than the
// list.
func (c *Catalog) MergeServerList(records []Record, version objects.Version, now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Name] = true
	}
	for name, known := range c.servers {
		if !listed[name] && !known.Deleted && known.Revision <= version.Revision {
			records = append(records, Record{Kind: KindServer, Name: name, Revision: version.Revision, Era: version.Era, Deleted: true})
		}
	}
	changes := c.merge(records, 0, now)
	c.completeRevision = max(c.completeRevision, version.Revision)
	return changes
}

// merge applies each record that is newer than the known one. A record of an
// unknown server is applied only if its revision is above minRevision.
func (c *Catalog) merge(records []Record, minRevision int64, now time.Time) []Change {
	var changes []Change
	next := *c.snapshot.Load()
	next.Servers = maps.Clone(next.Servers)
	for _, r := range records {
		switch r.Kind {
		case KindConfiguration:
			changes = append(changes, c.mergeConfiguration(&next, r)...)
		case KindServer:
			changes = append(changes, c.mergeServer(&next, r, minRevision, now)...)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	c.dropTombstones(&next, now)
	next.setServers(next.Servers)
	c.snapshot.Store(&next)
	return changes
}

func (c *Catalog) mergeConfiguration(next *Snapshot, r Record) []Change {
	if r.Deleted || r.Revision <= c.configuration.Revision {
		return nil
	}
	change := Change{Kind: r.Kind, Name: r.Name, Revision: r.Revision}
	cfg, err := c.decoder.Configuration(r.Spec)
	if err != nil {
		change.Type, change.Err = ChangedUnreadable, err
		return []Change{change}
	}
	if next.Ready && cfg.Version < next.Version {
		return nil
	}
	c.configuration = r
	next.setConfiguration(cfg, r.Revision)
	change.Type, change.Version = ChangedInForce, cfg.Version
	return []Change{change}
}

func (c *Catalog) mergeServer(next *Snapshot, r Record, minRevision int64, now time.Time) []Change {
	known, exists := c.servers[r.Name]
	if exists && !r.newerThan(known) {
		return nil
	}
	if !exists && (r.Deleted || r.Revision <= minRevision) {
		return nil
	}
	c.servers[r.Name] = r
	c.digest += recordHash(r) - recordHash(known)
	previous, existed := next.Servers[r.Name]
	change := Change{Kind: r.Kind, Name: r.Name, Revision: r.Revision}
	if r.Deleted {
		c.deletedAt[r.Name] = now
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
		change.Type, change.Err = ChangedUnreadable, err
		return []Change{change}
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

// newerThan compares records by revision. A deletion may have the same revision
// as the object that it removed, and then counts as newer.
func (r Record) newerThan(known Record) bool {
	if r.Revision == known.Revision {
		return r.Deleted && !known.Deleted
	}
	return r.Revision > known.Revision
}

// dropTombstones removes deleted servers from the snapshot after
// MissingEntryGrace. It removes their records after tombstoneRetention.
func (c *Catalog) dropTombstones(next *Snapshot, now time.Time) {
	for name, deletedAt := range c.deletedAt {
		if now.Sub(deletedAt) > MissingEntryGrace {
			delete(next.Servers, name)
		}
		if now.Sub(deletedAt) > tombstoneRetention {
			delete(c.servers, name)
			delete(c.deletedAt, name)
		}
	}
}

// recordHash is a record's contribution to the digest. It is zero for a deleted
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
