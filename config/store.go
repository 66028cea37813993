package config

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"bergamotpin.example/bergamotpin/api"
)

// MaxTombstones bounds the tombstones that a store keeps at or below its
// complete version.
const MaxTombstones = 1024

// incomplete is the complete version of a store that never held the whole
// configuration. Version 0 is that of a platform without any write.
const incomplete = -1

// ApplyResult says what a store did with a version of a resource.
type ApplyResult uint8

// The results.
const (
	// Unchanged means that the store knew a version at least as high.
	Unchanged ApplyResult = iota
	// Accepted means that the spec is in force.
	Accepted
	// Rejected means that the spec is invalid and the last accepted one stays
	// in force.
	Rejected
	// Deleted means that the resource is gone.
	Deleted
)

// Counters counts what a store did.
type Counters struct {
	Accepted, Rejected, Deleted, Stale, Refetched atomic.Int64
}

// Store holds the configuration of one instance. It is safe for concurrent
// use. Versions only rise: see Record.
type Store struct {
	// Counters may be read at any time.
	Counters Counters

	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	records map[ResourceKey]Record
	specs   map[ResourceKey]any
	sums    BucketSums
	// tombstones holds the keys of the records that are tombstones.
	tombstones map[ResourceKey]struct{}
	// complete is a version up to which every write is reflected in records,
	// or incomplete.
	// A write at or below it of a resource without a record is of a resource
	// that was deleted since.
	complete int64
	ready    bool
	changed  chan struct{}
	notes    []Override
}

// NewStore returns an empty store that is not ready.
func NewStore() *Store {
	s := &Store{
		records: make(map[ResourceKey]Record),
		specs:   make(map[ResourceKey]any),
		changed: make(chan struct{}),

		tombstones: make(map[ResourceKey]struct{}),
		complete:   incomplete,
	}
	s.snapshot.Store(emptySnapshot())
	return s
}

// Snapshot returns the configuration in force. The caller must not change it.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Changed returns a channel that is closed at the next change. Take it before
// the snapshot, so that no change is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Ready reports whether the store has held the whole configuration of the
// platform or of a peer that was ready.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// MarkReady makes the store ready. The first step of an instance calls it when
// it has asked both the platform and its peers.
func (s *Store) MarkReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// CompleteVersion returns the version up to which the store reflects every write, or
// -1.
func (s *Store) CompleteVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// Apply takes one event of a watch on all kinds of configuration that follows
// the store's complete version without a gap.
func (s *Store) Apply(event api.WatchEvent) ApplyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.applyEvent(event)
	if s.complete > incomplete {
		s.raiseComplete(event.Object.Version)
	}
	return result
}

func (s *Store) applyEvent(event api.WatchEvent) ApplyResult {
	obj := event.Object
	if !slices.Contains(api.ConfigKinds, obj.Kind) {
		return Unchanged
	}
	var rec Record
	var spec any
	switch event.Type {
	case api.EventPut:
		rec, spec = recordOf(obj)
	case api.EventDelete:
		rec = Record{Key: ResourceKey{obj.Kind, obj.Name}, Deleted: obj.Version}
	default:
		return Unchanged
	}
	fresh := obj.Version > s.complete
	result := s.put(rec, spec, fresh)
	if result != Unchanged {
		s.publish([]ResourceKey{rec.Key})
	}
	return result
}

// ApplyLists takes one list of each kind of configuration. A resource that is
// in none of them is deleted if its version is not above its kind's list. It
// returns the resources that changed.
func (s *Store) ApplyLists(lists map[api.Kind]api.List) []ResourceKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []ResourceKey
	complete := int64(math.MaxInt64)
	for _, kind := range api.ConfigKinds {
		list := lists[kind]
		changed = append(changed, s.mergeList(kind, list)...)
		complete = min(complete, list.Version)
	}
	s.publish(changed)
	s.raiseComplete(complete)
	return changed
}

func (s *Store) mergeList(kind api.Kind, list api.List) []ResourceKey {
	var changed []ResourceKey
	listed := make(map[ResourceKey]bool, len(list.Items))
	for _, obj := range list.Items {
		rec, spec := recordOf(obj)
		listed[rec.Key] = true
		// The list itself shows that the resource existed at its version.
		fresh := list.Version >= s.complete
		if s.put(rec, spec, fresh) != Unchanged {
			changed = append(changed, rec.Key)
		}
	}
	return append(changed, s.deleteAbsent(list.Version, func(k ResourceKey) bool {
		return k.Kind == kind && !listed[k]
	})...)
}

// deleteAbsent deletes each chosen resource whose versions are not above the
// version at which a complete source did not have it.
func (s *Store) deleteAbsent(version int64, absent func(ResourceKey) bool) []ResourceKey {
	var gone []ResourceKey
	for key, rec := range s.records {
		if rec.isTombstone() || max(rec.Accepted, rec.Rejected) > version || !absent(key) {
			continue
		}
		s.put(Record{Key: key, Deleted: version}, nil, true)
		gone = append(gone, key)
	}
	return gone
}

// put merges one record. Unless the source is fresh, a resource without a
// record whose versions are not above the complete version is not taken: it
// was deleted.
func (s *Store) put(rec Record, spec any, fresh bool) ApplyResult {
	old, known := s.records[rec.Key]
	if !known && !fresh && max(rec.Accepted, rec.Rejected, rec.Deleted) <= s.complete {
		s.Counters.Stale.Add(1)
		return Unchanged
	}
	if !known {
		old = Record{Key: rec.Key}
	}
	merged := old.merge(rec)
	if merged.same(old) {
		s.Counters.Stale.Add(1)
		return Unchanged
	}
	s.replace(old, merged, spec)
	return s.countChange(old, merged)
}

func (s *Store) replace(old, merged Record, spec any) {
	s.records[merged.Key] = merged
	s.sums[bucketOf(merged.Key)] += merged.sum() - old.sum()
	if merged.isTombstone() {
		s.tombstones[merged.Key] = struct{}{}
	} else {
		delete(s.tombstones, merged.Key)
	}
	switch {
	case !merged.inForce():
		delete(s.specs, merged.Key)
	case merged.Accepted != old.Accepted:
		s.specs[merged.Key] = spec
	}
}

func (s *Store) countChange(old, merged Record) ApplyResult {
	switch {
	case merged.Accepted > old.Accepted:
		s.Counters.Accepted.Add(1)
		return Accepted
	case merged.Deleted > old.Deleted:
		s.Counters.Deleted.Add(1)
		return Deleted
	}
	s.Counters.Rejected.Add(1)
	return Rejected
}

// publish makes a snapshot with the changed resources.
func (s *Store) publish(changed []ResourceKey) {
	if len(changed) == 0 {
		return
	}
	snap, notes := s.build(changed)
	s.notes = notes
	s.snapshot.Store(snap)
	close(s.changed)
	s.changed = make(chan struct{})
}

// raiseComplete raises the complete version and drops the oldest tombstones
// that it makes superfluous.
func (s *Store) raiseComplete(version int64) {
	if version <= s.complete {
		return
	}
	s.complete = version
	if len(s.tombstones) > MaxTombstones {
		s.dropTombstones()
	}
}

func (s *Store) dropTombstones() {
	var droppable []Record
	for key := range s.tombstones {
		if rec := s.records[key]; rec.Deleted <= s.complete {
			droppable = append(droppable, rec)
		}
	}
	excess := len(droppable) - MaxTombstones
	if excess <= 0 {
		return
	}
	slices.SortFunc(droppable, func(a, b Record) int { return cmp.Compare(a.Deleted, b.Deleted) })
	for _, rec := range droppable[:excess] {
		delete(s.records, rec.Key)
		delete(s.tombstones, rec.Key)
	}
}
