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

// noCompleteVersion is the complete version of a store that has never held the
// whole configuration. It is not 0, because a platform without any write is at
// version 0.
const noCompleteVersion = -1

// ApplyResult says how a store changed when a version of a resource was applied.
type ApplyResult uint8

// The values of ApplyResult.
const (
	// ApplyUnchanged means that the store already reflects the version, or that
	// the event does not concern the configuration.
	ApplyUnchanged ApplyResult = iota
	// ApplyAccepted means that the spec is in force.
	ApplyAccepted
	// ApplyRejected means that the spec is invalid. The last accepted spec
	// stays in force.
	ApplyRejected
	// ApplyDeleted means that the resource was deleted.
	ApplyDeleted
)

// Counters counts changes of a store by result (Accepted, Rejected, Deleted),
// versions without effect (StaleVersions) and buckets fetched from peers
// (FetchedBuckets).
type Counters struct {
	Accepted, Rejected, Deleted, StaleVersions, FetchedBuckets atomic.Int64
}

// Store holds the configuration of one instance. It is safe for concurrent use.
// Versions only rise, as Record explains.
type Store struct {
	// Counters may be read at any time.
	Counters Counters

	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	records map[ResourceKey]Record
	specs   map[ResourceKey]any // parsed specs in force
	sums    BucketSums
	// tombstones holds the keys of the records that are tombstones.
	tombstones map[ResourceKey]struct{}
	// completeVersion is a version up to which every write is reflected in records,
	// or noCompleteVersion. If a resource without a record was written at or below
	// this version, then the resource was deleted after that write.
	completeVersion int64
	ready           bool
	changed         chan struct{} // closed and replaced at each change
	overrides       []Override
}

// NewStore returns an empty store that is not ready.
func NewStore() *Store {
	s := &Store{
		records: make(map[ResourceKey]Record),
		specs:   make(map[ResourceKey]any),
		changed: make(chan struct{}),

		tombstones:      make(map[ResourceKey]struct{}),
		completeVersion: noCompleteVersion,
	}
	s.snapshot.Store(emptySnapshot())
	return s
}

// Snapshot returns the configuration in force. The caller must not modify it.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Changed returns a channel that is closed at the next change. Call it before
// Snapshot, so that no change is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Ready reports whether MarkReady was called: the store has loaded the whole
// configuration from the platform or from a peer that was ready.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// MarkReady makes the store ready. An instance calls it at its start, after it has
// asked both the platform and its peers for the configuration.
func (s *Store) MarkReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// CompleteVersion returns the version up to which the store reflects every write,
// or -1 if it never held the whole configuration.
func (s *Store) CompleteVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeVersion
}

// deletedAfter reports whether the store knows that a resource was deleted after the
// given spec version was written.
func (s *Store) deletedAfter(key ResourceKey, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[key]
	if !known {
		return version <= s.completeVersion
	}
	return rec.Deleted > version
}

// Apply applies one event of a watch. If the store has a complete version, Apply
// raises it to the version of the event. The watch must cover all kinds of
// configuration and have no gap after the store's complete version.
func (s *Store) Apply(event api.WatchEvent) ApplyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.applyEvent(event)
	if s.completeVersion > noCompleteVersion {
		s.raiseCompleteVersionLocked(event.Object.Version)
	}
	return result
}

// applyEvent merges one event and publishes a snapshot if it changed anything. The
// caller holds mu.
func (s *Store) applyEvent(event api.WatchEvent) ApplyResult {
	obj := event.Object
	if !slices.Contains(api.ConfigKinds, obj.Kind) {
		return ApplyUnchanged
	}
	var rec Record
	var spec any
	switch event.Type {
	case api.EventPut:
		rec, spec = recordOf(obj)
	case api.EventDelete:
		rec = Record{Key: ResourceKey{obj.Kind, obj.Name}, Deleted: obj.Version}
	default:
		return ApplyUnchanged
	}
	upToDate := obj.Version > s.completeVersion
	result := s.mergeRecord(rec, spec, upToDate)
	if result != ApplyUnchanged {
		s.publish([]ResourceKey{rec.Key})
	}
	return result
}

// ApplyLists applies a list of all objects for each kind of configuration. A
// resource missing from its kind's list is deleted, unless it has a version above
// that of the list. It returns the resources that changed.
func (s *Store) ApplyLists(lists map[api.Kind]api.List) []ResourceKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []ResourceKey
	completeVersion := int64(math.MaxInt64)
	for _, kind := range api.ConfigKinds {
		list := lists[kind]
		changed = append(changed, s.mergeList(kind, list)...)
		completeVersion = min(completeVersion, list.Version)
	}
	s.publish(changed)
	s.raiseCompleteVersionLocked(completeVersion)
	return changed
}

// mergeList merges the list of one kind and deletes the resources missing from
// it. It returns the keys that changed. The caller holds mu.
func (s *Store) mergeList(kind api.Kind, list api.List) []ResourceKey {
	var changed []ResourceKey
	listed := make(map[ResourceKey]bool, len(list.Items))
	for _, obj := range list.Items {
		rec, spec := recordOf(obj)
		listed[rec.Key] = true
		// A list at least as new as the complete version shows that its resources
		// were not deleted, even those without a record.
		upToDate := list.Version >= s.completeVersion
		if s.mergeRecord(rec, spec, upToDate) != ApplyUnchanged {
			changed = append(changed, rec.Key)
		}
	}
	return append(changed, s.deleteMissing(list.Version, func(k ResourceKey) bool {
		return k.Kind == kind && !listed[k]
	})...)
}

// deleteMissing deletes the resources for which isMissing returns true. These are
// the resources that a list or a peer's buckets lacked at the given version. A
// resource with a higher version is kept. It returns the deleted keys. The caller
// holds mu.
func (s *Store) deleteMissing(version int64, isMissing func(ResourceKey) bool) []ResourceKey {
	var deleted []ResourceKey
	for key, rec := range s.records {
		if rec.isTombstone() || max(rec.Accepted, rec.Rejected) > version || !isMissing(key) {
			continue
		}
		s.mergeRecord(Record{Key: key, Deleted: version}, nil, true)
		deleted = append(deleted, key)
	}
	return deleted
}

// mergeRecord merges one record. If the store has no record of the resource and all
// versions in rec are at or below the complete version, then the resource was
// deleted after these versions, and mergeRecord ignores rec. The argument upToDate
// says that the source of rec reflects at least the complete version. Then rec is
// not ignored for this reason. The caller holds mu.
func (s *Store) mergeRecord(rec Record, spec any, upToDate bool) ApplyResult {
	old, known := s.records[rec.Key]
	if !known && !upToDate && max(rec.Accepted, rec.Rejected, rec.Deleted) <= s.completeVersion {
		s.Counters.StaleVersions.Add(1)
		return ApplyUnchanged
	}
	if !known {
		old = Record{Key: rec.Key}
	}
	merged := old.merge(rec)
	if merged.sameVersions(old) {
		s.Counters.StaleVersions.Add(1)
		return ApplyUnchanged
	}
	s.replaceRecord(old, merged, spec)
	return s.countChange(old, merged)
}

// replaceRecord stores a merged record and updates the bucket sums, the
// tombstones and the specs in force.
func (s *Store) replaceRecord(old, merged Record, spec any) {
	s.records[merged.Key] = merged
	s.sums[bucketOf(merged.Key)] += merged.checksum() - old.checksum()
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

// countChange returns how a record changed and counts it in Counters.
func (s *Store) countChange(old, merged Record) ApplyResult {
	switch {
	case merged.Accepted > old.Accepted:
		s.Counters.Accepted.Add(1)
		return ApplyAccepted
	case merged.Deleted > old.Deleted:
		s.Counters.Deleted.Add(1)
		return ApplyDeleted
	}
	s.Counters.Rejected.Add(1)
	return ApplyRejected
}

// If changed is not empty, publish builds a snapshot with the changed resources,
// makes it current and closes the channel that Changed returned. The caller holds
// mu.
func (s *Store) publish(changed []ResourceKey) {
	if len(changed) == 0 {
		return
	}
	snap, overrides := s.buildSnapshot(changed)
	s.overrides = overrides
	s.snapshot.Store(snap)
	close(s.changed)
	s.changed = make(chan struct{})
}

// raiseCompleteVersionLocked raises the complete version. If there are more than
// MaxTombstones tombstones, it calls dropTombstones. The caller holds mu.
func (s *Store) raiseCompleteVersionLocked(version int64) {
	if version <= s.completeVersion {
		return
	}
	s.completeVersion = version
	if len(s.tombstones) > MaxTombstones {
		s.dropTombstones()
	}
}

// dropTombstones drops the oldest of the tombstones at or below the complete
// version, so that at most MaxTombstones of these remain.
func (s *Store) dropTombstones() {
	var droppable []Record
	for key := range s.tombstones {
		if rec := s.records[key]; rec.Deleted <= s.completeVersion {
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
