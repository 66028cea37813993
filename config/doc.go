// Package config keeps the accepted configuration in memory.
//
// A Store holds, for each resource, the accepted spec with the highest spec version
// seen, and a tombstone for each deleted resource. Versions only rise: a stale
// read, an old watch event or an older record of a peer changes nothing. If the
// newest spec is invalid, the last accepted spec stays in force.
//
// Readers get an immutable Snapshot. Changes arrive from the platform's watch and
// from peers. A change takes effect when the first of these sources delivers it.
//
// Guarantees:
//
//   - Any two stores that received the same records, in any order and any
//     number of times, hold the same configuration.
//   - The spec version of a resource in a store's snapshots never falls, and a
//     deleted resource reappears only with a version above that of the delete.
//   - A change that one running instance has seen reaches every instance that is
//     connected to it, directly or through others, without the platform.
//   - A new instance is ready after it has asked both the platform and its
//     peers and at least one of them gave it the whole configuration.
//   - Of two operators that edit the same spec at the same time, one succeeds;
//     the other gets a conflict error with both versions of the resource.
//
// A store also has a complete version, up to which the store reflects every write.
// If the store has no record of a resource, then a write to that resource at or
// below the complete version was followed by a delete. So a tombstone at or below
// the complete version can be dropped safely. The store drops such tombstones, the
// oldest first, only when it has more than MaxTombstones of them.
//
// An Agent keeps a Store up to date. The caller decides which few instances of a
// data centre watch the platform. The watching instances push changes to all peers
// in their own data centre and to a few peers in each of the other data centres.
// Those few relay the changes within their data centre. For anti-entropy, every
// instance compares 64 sums over its records with one peer at a time and fetches
// the records that differ.
//
// The platform keeps only the newest spec of a resource. If the newest spec is
// invalid, an instance that starts later gets the last accepted spec from its
// peers. In case all instances are replaced, the StatusReporter also keeps a
// copy of the accepted spec at the platform.
package config
