package config

import (
	"cmp"
	"slices"

	"bergamotpin.example/bergamotpin/api"
)

// pageBytes is the size in bytes at which a page takes no further record. The last
// record can make the page larger than pageBytes, by the size of one record at
// most. Even then the page fits in one message.
const pageBytes = 100 << 10

// Digest summarises a store, so that peers can compare their records.
type Digest struct {
	Ready           bool       `cbor:"1,keyasint,omitempty"`
	CompleteVersion int64      `cbor:"2,keyasint"`
	Revision        int64      `cbor:"3,keyasint"`
	Sums            BucketSums `cbor:"4,keyasint"`
}

// FetchRequest asks for one page of the records in some buckets. The records are
// ordered by bucket, then by key. If After is nil, the page starts at the first
// record, otherwise after the record with that key.
type FetchRequest struct {
	Buckets []int        `cbor:"1,keyasint"`
	After   *ResourceKey `cbor:"2,keyasint,omitempty"`
}

// RecordPage is one page of the requested records, ordered by bucket, then by
// key. CompleteVersion is that of the store when it made the page. More says that
// there are records after this page.
type RecordPage struct {
	CompleteVersion int64    `cbor:"1,keyasint"`
	Records         []Record `cbor:"2,keyasint"`
	More            bool     `cbor:"3,keyasint,omitempty"`
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Digest{Ready: s.ready, CompleteVersion: s.completeVersion, Revision: s.snapshot.Load().Revision, Sums: s.sums}
}

// differingBuckets lists the buckets whose sums differ.
func differingBuckets(a, b BucketSums) []int {
	var buckets []int
	for i := range a {
		if a[i] != b[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// Page returns the page of records that the request asks for.
func (s *Store) Page(req FetchRequest) RecordPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []Record
	for key, rec := range s.records {
		if slices.Contains(req.Buckets, bucketOf(key)) && (req.After == nil || comparePagingOrder(key, *req.After) > 0) {
			matching = append(matching, rec)
		}
	}
	slices.SortFunc(matching, func(a, b Record) int { return comparePagingOrder(a.Key, b.Key) })
	page := RecordPage{CompleteVersion: s.completeVersion}
	n := pageLength(matching)
	page.Records, page.More = matching[:n], n < len(matching)
	return page
}

// comparePagingOrder orders keys by bucket, and within a bucket by kind and name.
func comparePagingOrder(a, b ResourceKey) int {
	if c := cmp.Compare(bucketOf(a), bucketOf(b)); c != 0 {
		return c
	}
	return compareKeys(a, b)
}

// pageLength returns the number of records in the first page, if the records are
// split into pages in their order.
func pageLength(records []Record) int {
	size := 0
	for i, rec := range records {
		if size >= pageBytes {
			return i
		}
		size += rec.encodedSizeBound()
	}
	return len(records)
}

// encodedSizeBound returns an upper bound of the record's encoded size in bytes.
func (r Record) encodedSizeBound() int {
	const fixed = 48 // upper bound for the versions and the CBOR headers
	return fixed + len(r.Key.Kind) + len(r.Key.Name) + len(r.Spec) + len(r.Problem)
}

// Merge merges records from a peer into the store and returns the keys that
// changed. Resources for which the peer sent no record stay as they are.
func (s *Store) Merge(records []Record) []ResourceKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.mergeRecords(records, false)
	s.publish(changed)
	return changed
}

// MergeBuckets merges all records that a peer has in the given buckets. If the peer
// does not have a resource of these buckets, the resource is deleted, unless it has
// a version above peerCompleteVersion. MergeBuckets returns the keys that changed.
func (s *Store) MergeBuckets(buckets []int, records []Record, peerCompleteVersion int64) []ResourceKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	upToDate := peerCompleteVersion >= s.completeVersion
	changed := s.mergeRecords(records, upToDate)
	present := make(map[ResourceKey]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
	}
	changed = append(changed, s.deleteMissing(peerCompleteVersion, func(k ResourceKey) bool {
		return !present[k] && slices.Contains(buckets, bucketOf(k))
	})...)
	s.publish(changed)
	return changed
}

// mergeRecords merges a peer's records and returns the keys that changed. The
// function mergeRecord explains upToDate. The caller holds mu.
func (s *Store) mergeRecords(records []Record, upToDate bool) []ResourceKey {
	var changed []ResourceKey
	for _, rec := range records {
		rec, spec := revalidate(rec)
		if s.mergeRecord(rec, spec, upToDate) != ApplyUnchanged {
			changed = append(changed, rec.Key)
		}
	}
	return changed
}

// revalidate checks a peer's record as if it came from the platform. It returns the
// record and the parsed spec. If this instance finds the accepted spec of the
// record invalid, the returned record holds it as rejected.
func revalidate(rec Record) (Record, any) {
	if rec.Accepted == 0 {
		return rec, nil
	}
	obj := api.Object{Kind: rec.Key.Kind, Name: rec.Key.Name, SpecVersion: rec.Accepted, Spec: rec.Spec}
	checked, spec := recordOf(obj)
	if spec != nil {
		return rec, spec
	}
	checked.Deleted = rec.Deleted
	return checked, nil
}

// RaiseCompleteVersion raises the store's complete version to the given version,
// unless it is as high already. It must be called only after the store has merged
// all records of a peer with that complete version.
func (s *Store) RaiseCompleteVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raiseCompleteVersionLocked(version)
}

// Records returns the records of the given resources. Resources without a record
// are left out.
func (s *Store) Records(keys []ResourceKey) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(keys))
	for _, key := range keys {
		if rec, ok := s.records[key]; ok {
			records = append(records, rec)
		}
	}
	return records
}

// Rejections returns the records of the resources whose newest spec is invalid,
// in order of their keys.
func (s *Store) Rejections() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rejected []Record
	for _, rec := range s.records {
		if rec.Rejected > 0 {
			rejected = append(rejected, rec)
		}
	}
	slices.SortFunc(rejected, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	return rejected
}

// Overrides lists the resources whose specs are not in force as written because of
// rules that cover several resources.
func (s *Store) Overrides() []Override {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.overrides)
}

// liveRecords returns the records that are not tombstones, in order of their keys.
func (s *Store) liveRecords() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make([]Record, 0, len(s.records))
	for _, rec := range s.records {
		if !rec.isTombstone() {
			live = append(live, rec)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	return live
}
