package catalog

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tombstoneLife is for how long a deleted server's record is kept, so that an
// instance that missed the delete hears of it.
const tombstoneLife = 2 * time.Minute

// Change is one thing that a table believes since a merge.
type Change struct {
	Kind     Kind
	Name     string
	Revision int64
	// Type is one of the Changed constants.
	Type string
	// Version is that of a configuration that is in force now.
	Version int64
	// Err says why a record is not used.
	Err error
}

// What a change may be.
const (
	ChangedInForce    = "in_force"
	ChangedReady      = "ready"
	ChangedLeaving    = "leaving"
	ChangedGone       = "gone"
	ChangedRestarted  = "restarted"
	ChangedUnreadable = "unreadable"
)

// Catalog holds the records of one instance. It is safe for concurrent use.
type Catalog struct {
	decoder  Decoder
	snapshot atomic.Pointer[Snapshot]

	mu            sync.Mutex
	configuration Record
	servers       map[string]Record
	deletedAt     map[string]time.Time
	// complete is a revision up to which every record of a server is known. An
	// unknown server whose record is not above it was deleted.
	complete int64
	digest   uint64
}

// New returns an empty catalog.
func New(d Decoder) *Catalog {
	t := &Catalog{decoder: d, servers: make(map[string]Record), deletedAt: make(map[string]time.Time)}
	t.snapshot.Store(newSnapshot())
	return t
}

// Snapshot returns the present view. The caller must not change it.
func (t *Catalog) Snapshot() *Snapshot { return t.snapshot.Load() }

// Digest returns the configuration's revision and a sum over the servers'
// records. Tables with the same records have the same sum.
func (t *Catalog) Digest() (revision int64, servers uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.configuration.Revision, t.digest
}

// ConfigurationRecord returns the record of the configuration in force.
func (t *Catalog) ConfigurationRecord() (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.configuration, t.configuration.Revision > 0
}

// ServerRecords returns the records of all servers, tombstones included.
func (t *Catalog) ServerRecords() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.servers))
	for _, r := range t.servers {
		records = append(records, r)
	}
	return records
}

// Merge takes in records from any source and returns what changed.
func (t *Catalog) Merge(records []Record, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(records, t.complete, now)
}

// MergeEvents takes in the events of a watch on the servers. Every change of a
// server up to the revision is among these and earlier ones.
func (t *Catalog) MergeEvents(records []Record, revision int64, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.merge(records, 0, now)
	t.complete = max(t.complete, revision)
	return changes
}

// MergeServerList takes in a whole list of the servers as of a revision. A
// known server that it lacks is gone.
func (t *Catalog) MergeServerList(records []Record, revision int64, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Name] = true
	}
	for name, known := range t.servers {
		if !listed[name] && !known.Deleted && known.Revision <= revision {
			records = append(records, Record{Kind: KindServer, Name: name, Revision: revision, Deleted: true})
		}
	}
	changes := t.merge(records, 0, now)
	t.complete = max(t.complete, revision)
	return changes
}

// merge takes each record that is newer than the known one. A server that is
// not known is taken only above the floor.
func (t *Catalog) merge(records []Record, floor int64, now time.Time) []Change {
	var changes []Change
	next := *t.snapshot.Load()
	next.Servers = maps.Clone(next.Servers)
	for _, r := range records {
		switch r.Kind {
		case KindConfiguration:
			changes = append(changes, t.mergeConfiguration(&next, r)...)
		case KindServer:
			changes = append(changes, t.mergeServer(&next, r, floor, now)...)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	t.forgetTombstones(&next, now)
	next.setServers(next.Servers)
	t.snapshot.Store(&next)
	return changes
}

func (t *Catalog) mergeConfiguration(next *Snapshot, r Record) []Change {
	if r.Deleted || r.Revision <= t.configuration.Revision {
		return nil
	}
	change := Change{Kind: r.Kind, Name: r.Name, Revision: r.Revision}
	c, err := t.decoder.Configuration(r.Spec)
	if err != nil {
		change.Type, change.Err = ChangedUnreadable, err
		return []Change{change}
	}
	if next.Ready && c.Version < next.Version {
		return nil
	}
	t.configuration = r
	next.setConfiguration(c, r.Revision)
	change.Type, change.Version = ChangedInForce, c.Version
	return []Change{change}
}

func (t *Catalog) mergeServer(next *Snapshot, r Record, floor int64, now time.Time) []Change {
	known, isKnown := t.servers[r.Name]
	if isKnown && !r.newerThan(known) {
		return nil
	}
	if !isKnown && (r.Deleted || r.Revision <= floor) {
		return nil
	}
	t.servers[r.Name] = r
	t.digest += sum(r) - sum(known)
	before, was := next.Servers[r.Name]
	change := Change{Kind: r.Kind, Name: r.Name, Revision: r.Revision}
	if r.Deleted {
		t.deletedAt[r.Name] = now
		if !was || before.EntryMissing {
			return nil
		}
		before.EntryMissing, before.MissingSince = true, now
		next.Servers[r.Name] = before
		change.Type = ChangedGone
		return []Change{change}
	}
	delete(t.deletedAt, r.Name)
	server, err := t.decoder.Server(r.Name, r.Spec)
	if err != nil {
		delete(next.Servers, r.Name)
		change.Type, change.Err = ChangedUnreadable, err
		return []Change{change}
	}
	next.Servers[r.Name] = server
	change.Type = whatChanged(before, was, server)
	return []Change{change}
}

func whatChanged(before BackendServer, was bool, now BackendServer) string {
	switch {
	case now.Leaving:
		return ChangedLeaving
	case was && now.StartedAtMillis != before.StartedAtMillis:
		return ChangedRestarted
	}
	return ChangedReady
}

// newerThan orders records by revision. A delete may carry the revision of the
// object that it removed, so it goes before that.
func (r Record) newerThan(known Record) bool {
	if r.Revision == known.Revision {
		return r.Deleted && !known.Deleted
	}
	return r.Revision > known.Revision
}

// forgetTombstones drops the records of servers that were deleted long ago,
// and what is left of them in the snapshot.
func (t *Catalog) forgetTombstones(next *Snapshot, now time.Time) {
	for name, at := range t.deletedAt {
		if now.Sub(at) > MissingEntryGrace {
			delete(next.Servers, name)
		}
		if now.Sub(at) > tombstoneLife {
			delete(t.servers, name)
			delete(t.deletedAt, name)
		}
	}
}

// sum is a record's part of the digest. A deleted server counts nothing: an
// instance that never saw it agrees with one that saw it go.
func sum(r Record) uint64 {
	if r.Deleted || r.Revision == 0 {
		return 0
	}
	h := xxhash.New()
	// A hash's Write never fails.
	_, _ = h.WriteString(r.Name)
	return (h.Sum64() ^ uint64(r.Revision)) * 0x9e3779b97f4a7c15
}
