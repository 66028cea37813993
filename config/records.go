package config

import (
	"strings"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// ResourceKey identifies a resource by its kind and name.
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

// Record is all that an instance knows about one resource. The highest accepted,
// rejected and deleted versions seen can only rise. So the records of a resource
// can be merged in any order and any number of times, with the same result.
type Record struct {
	Key ResourceKey `cbor:"1,keyasint"`
	// Accepted is the highest valid spec version seen, or zero.
	Accepted int64 `cbor:"2,keyasint,omitempty"`
	// Spec is the spec at version Accepted, as JSON.
	Spec []byte `cbor:"3,keyasint,omitempty"`
	// Deleted is the highest version at which the resource is known to be deleted,
	// or zero.
	Deleted int64 `cbor:"4,keyasint,omitempty"`
	// Rejected is the highest invalid spec version seen, or zero. Problem says
	// why that spec is invalid.
	Rejected int64  `cbor:"5,keyasint,omitempty"`
	Problem  string `cbor:"6,keyasint,omitempty"`
}

// inForce reports whether the record's spec is part of the configuration.
func (r Record) inForce() bool { return r.Accepted > r.Deleted }

// isTombstone reports whether the record holds only a delete.
func (r Record) isTombstone() bool { return r.Accepted == 0 && r.Rejected == 0 }

// revision returns the highest version that affects what is in force. A rejected
// spec does not count.
func (r Record) revision() int64 { return max(r.Accepted, r.Deleted) }

// merge combines two records of the same resource. For each of the three versions
// it takes the higher one, with the spec or problem that belongs to it.
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

// normalised returns the record without the fields that a later version of the
// resource made obsolete.
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

// sameVersions reports whether both records hold the same versions.
func (r Record) sameVersions(other Record) bool {
	return r.Accepted == other.Accepted && r.Deleted == other.Deleted && r.Rejected == other.Rejected
}

// recordOf converts an object of the platform into a record. A valid spec counts
// as accepted, any other as rejected. It also returns the parsed spec, or nil if
// the spec is invalid.
func recordOf(obj api.Object) (Record, any) {
	key := ResourceKey{Kind: obj.Kind, Name: obj.Name}
	spec, err := api.ParseSpec(obj)
	if err != nil {
		return Record{Key: key, Rejected: obj.SpecVersion, Problem: err.Error()}, nil
	}
	return Record{Key: key, Accepted: obj.SpecVersion, Spec: obj.Spec}, spec
}

// Buckets is the number of buckets into which keys are hashed. Peers compare their
// records by one sum for each bucket.
const Buckets = 64

// BucketSums holds, for each bucket, the sum of its records' checksums. Stores with
// equal sums are assumed to hold the same configuration.
type BucketSums [Buckets]uint64

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashKey returns an FNV-1a hash of the key with its bits mixed. All instances must
// compute the same hash, since it selects the bucket.
func hashKey(k ResourceKey) uint64 {
	h := uint64(fnvOffset)
	for _, text := range [...]string{string(k.Kind), "/", k.Name} {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * fnvPrime
		}
	}
	return rendezvous.Mix(h)
}

func bucketOf(k ResourceKey) int { return int(hashKey(k) % Buckets) }

// checksum returns what the record adds to its bucket's sum. A tombstone adds 0. So
// an instance that saw the delete has the same sum as an instance that never saw
// the resource.
func (r Record) checksum() uint64 {
	if r.isTombstone() {
		return 0
	}
	h := hashKey(r.Key)
	h = rendezvous.Mix(h ^ uint64(r.Accepted))
	return rendezvous.Mix(h ^ uint64(r.Rejected))
}
