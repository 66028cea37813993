package config

import (
	"cmp"
	"slices"

	"bergamotpin.example/bergamotpin/api"
)

// pageBytes is the size from which a page of records takes no further one.
// With one spec of the largest size above it, a page still fits a message.
const pageBytes = 100 << 10

// Digest is what peers compare.
type Digest struct {
	Ready           bool       `cbor:"1,keyasint,omitempty"`
	CompleteVersion int64      `cbor:"2,keyasint"`
	Revision        int64      `cbor:"3,keyasint"`
	Sums            BucketSums `cbor:"4,keyasint"`
}

// FetchRequest asks for the records of some buckets after a position.
type FetchRequest struct {
	Buckets []int        `cbor:"1,keyasint"`
	After   *ResourceKey `cbor:"2,keyasint,omitempty"`
}

// Page is one part of the records of the buckets asked for, in order of
// buckets and keys.
type Page struct {
	CompleteVersion int64    `cbor:"1,keyasint"`
	Records         []Record `cbor:"2,keyasint"`
	More            bool     `cbor:"3,keyasint,omitempty"`
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Digest{Ready: s.ready, CompleteVersion: s.complete, Revision: s.snapshot.Load().Revision, Sums: s.sums}
}

// differingBuckets lists the buckets whose sums differ.
func differingBuckets(a, b BucketSums) []int {
	var out []int
	for i := range a {
		if a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}

// Page returns the records after the position that the request names.
func (s *Store) Page(req FetchRequest) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Record
	for key, rec := range s.records {
		if slices.Contains(req.Buckets, bucketOf(key)) && (req.After == nil || comparePositions(key, *req.After) > 0) {
			all = append(all, rec)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return comparePositions(a.Key, b.Key) })
	page := Page{CompleteVersion: s.complete}
	n := pageLength(all)
	page.Records, page.More = all[:n], n < len(all)
	return page
}

// comparePositions orders keys by bucket, then by key.
func comparePositions(a, b ResourceKey) int {
	if c := cmp.Compare(bucketOf(a), bucketOf(b)); c != 0 {
		return c
	}
	return compareKeys(a, b)
}

// pageLength counts the records that make up the first page.
func pageLength(records []Record) int {
	size := 0
	for i, rec := range records {
		if size >= pageBytes {
			return i
		}
		size += rec.wireBytes()
	}
	return len(records)
}

// wireBytes is an upper estimate of the record's encoded size.
func (r Record) wireBytes() int {
	const fixed = 48
	return fixed + len(r.Key.Kind) + len(r.Key.Name) + len(r.Spec) + len(r.Problem)
}

// Merge takes records from a peer and returns the keys that changed. It tells
// nothing about resources that are not among them.
func (s *Store) Merge(records []Record) []ResourceKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.mergeRecords(records, false)
	s.publish(changed)
	return changed
}

// MergeBuckets takes all records of some buckets from a peer that was
// complete up to a version. A resource of these buckets that the peer does not
// have is deleted if its versions are not above that version.
func (s *Store) MergeBuckets(buckets []int, records []Record, complete int64) []ResourceKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := complete >= s.complete
	changed := s.mergeRecords(records, fresh)
	had := make(map[ResourceKey]bool, len(records))
	for _, rec := range records {
		had[rec.Key] = true
	}
	changed = append(changed, s.deleteAbsent(complete, func(k ResourceKey) bool {
		return !had[k] && slices.Contains(buckets, bucketOf(k))
	})...)
	s.publish(changed)
	return changed
}

func (s *Store) mergeRecords(records []Record, fresh bool) []ResourceKey {
	var changed []ResourceKey
	for _, rec := range records {
		rec, spec := revalidate(rec)
		if s.put(rec, spec, fresh) != Unchanged {
			changed = append(changed, rec.Key)
		}
	}
	return changed
}

// revalidate checks a peer's record as if it came from the platform.
func revalidate(rec Record) (Record, any) {
	if rec.Accepted == 0 {
		return rec, nil
	}
	obj := api.Object{Kind: rec.Key.Kind, Name: rec.Key.Name, SpecVersion: rec.Accepted, Spec: rec.Spec}
	own, spec := recordOf(obj)
	if spec != nil {
		return rec, spec
	}
	own.Deleted = rec.Deleted
	return own, nil
}

// RaiseCompleteVersion says that the store has merged all that a peer complete up to
// version has.
func (s *Store) RaiseCompleteVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raiseComplete(version)
}

// Records returns the records of some resources.
func (s *Store) Records(keys []ResourceKey) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(keys))
	for _, key := range keys {
		if rec, ok := s.records[key]; ok {
			out = append(out, rec)
		}
	}
	return out
}

// Rejections returns the records of the resources whose last spec is invalid,
// in order of their keys.
func (s *Store) Rejections() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	for _, rec := range s.records {
		if rec.Rejected > 0 {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	return out
}

// Overrides returns what rules over several resources overrode.
func (s *Store) Overrides() []Override {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.notes)
}

// live returns the records of the resources that exist, in order of their
// keys.
func (s *Store) live() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for _, rec := range s.records {
		if !rec.isTombstone() {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	return out
}
