package config

import (
	"strings"

	"bergamotpin.example/bergamotpin/api"
)

// ResourceKey names a resource.
type ResourceKey struct {
	Kind api.Kind `cbor:"1,keyasint"`
	Name string   `cbor:"2,keyasint"`
}

// compareKeys orders keys by kind, then by name.
func compareKeys(a, b ResourceKey) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// Record is all that an instance knows of one resource. Each field but the
// spec is a version that only rises, so that two records merge field by field,
// in any order and any number of times, to the same result.
type Record struct {
	Key ResourceKey `cbor:"1,keyasint"`
	// Accepted is the highest spec version that was valid, or zero.
	Accepted int64 `cbor:"2,keyasint,omitempty"`
	// Spec is the spec of version Accepted.
	Spec []byte `cbor:"3,keyasint,omitempty"`
	// Deleted is the version of the last delete, or zero.
	Deleted int64 `cbor:"4,keyasint,omitempty"`
	// Rejected is the highest spec version that was invalid, or zero, and
	// Problem is what was wrong with it.
	Rejected int64  `cbor:"5,keyasint,omitempty"`
	Problem  string `cbor:"6,keyasint,omitempty"`
}

// inForce reports whether the record's spec is part of the configuration.
func (r Record) inForce() bool { return r.Accepted > r.Deleted }

// isTombstone reports whether nothing but the delete is left.
func (r Record) isTombstone() bool { return r.Accepted == 0 && r.Rejected == 0 }

// revision is the highest version that the record reflects.
func (r Record) revision() int64 { return max(r.Accepted, r.Deleted) }

// merge returns the field by field maximum of both records.
func (r Record) merge(other Record) Record {
	if other.Accepted > r.Accepted {
		r.Accepted, r.Spec = other.Accepted, other.Spec
	}
	if other.Rejected > r.Rejected {
		r.Rejected, r.Problem = other.Rejected, other.Problem
	}
	r.Deleted = max(r.Deleted, other.Deleted)
	return r.normalised()
}

// normalised drops what a later version replaced.
func (r Record) normalised() Record {
	if r.Accepted <= r.Deleted {
		r.Accepted, r.Spec = 0, nil
	} else {
		r.Deleted = 0
	}
	if r.Rejected <= max(r.Accepted, r.Deleted) {
		r.Rejected, r.Problem = 0, ""
	}
	return r
}

// same reports whether both records hold the same versions.
func (r Record) same(other Record) bool {
	return r.Accepted == other.Accepted && r.Deleted == other.Deleted && r.Rejected == other.Rejected
}

// recordOf turns a written object into a record. A valid spec counts as
// accepted, any other as rejected. The parsed spec is nil if it was rejected.
func recordOf(obj api.Object) (Record, any) {
	key := ResourceKey{Kind: obj.Kind, Name: obj.Name}
	spec, err := api.ParseSpec(obj)
	if err != nil {
		return Record{Key: key, Rejected: obj.SpecVersion, Problem: err.Error()}, nil
	}
	return Record{Key: key, Accepted: obj.SpecVersion, Spec: obj.Spec}, spec
}

// Buckets is the number of parts in which peers compare their records.
const Buckets = 64

// BucketSums holds one sum over the records of each bucket. Equal sums mean
// equal configuration.
type BucketSums [Buckets]uint64

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func hashKey(k ResourceKey) uint64 {
	h := uint64(fnvOffset)
	for _, part := range [...]string{string(k.Kind), "/", k.Name} {
		for i := range len(part) {
			h = (h ^ uint64(part[i])) * fnvPrime
		}
	}
	return mix(h)
}

// mix spreads each bit of the input over the whole output.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func bucketOf(k ResourceKey) int { return int(hashKey(k) % Buckets) }

// sum is the record's part of its bucket's sum. A tombstone counts nothing:
// an instance that never saw the resource agrees with one that saw it go.
func (r Record) sum() uint64 {
	if r.isTombstone() {
		return 0
	}
	h := hashKey(r.Key)
	h = mix(h ^ uint64(r.Accepted))
	return mix(h ^ uint64(r.Rejected))
}
