// Package config keeps the accepted configuration in memory.
//
// A Store holds, for each resource, the accepted spec with the highest spec
// version seen, and a tombstone for each deleted one. Versions only rise: a
// stale read, an old watch or a peer's older digest changes nothing. An
// invalid spec leaves the last accepted one in force.
//
// Readers take an immutable Snapshot. The configuration comes from the
// platform's watch and from peers, whichever is first.
//
// Guarantees:
//
//   - Any two stores that received the same records, in any order and any
//     number of times, hold the same configuration.
//   - The spec version of a resource in a store's snapshots never falls, and a
//     deleted resource comes back only with a version above its delete.
//   - A change that one running instance has seen reaches every instance that
//     it can reach, directly or over others, without the platform.
//   - A new instance is ready after it has asked both the platform and its
//     peers and at least one of them gave it the whole configuration.
//   - Of two operators that edit the same spec, one succeeds; the other is told
//     so, with both versions.
//
// A store also knows a version up to which it is complete: it reflects every
// write up to there. A write at or below it of a resource that the store does
// not have was undone by a delete. So tombstones at or below it may be
// dropped, and MaxTombstones of them are kept.
//
// An Agent keeps a Store up to date. At most a few instances of a data centre
// watch the platform, as the caller chooses; they push changes to all peers of
// their data centre and to some of each other one, which relay them. Every
// instance compares 64 sums over its records with one peer at a time and
// fetches what differs.
//
// An invalid spec can hide the last accepted one from instances that start
// later. Peers hand it on; for the case that all instances are replaced, the
// Reporter keeps a copy at the platform.
package config
