// Package config keeps the accepted configuration in memory.
//
// A Store holds, for each resource, the accepted spec with the highest spec
// version seen, and a tombstone for each deleted one. Versions only rise: a
// stale read, an old watch or a peer's older digest changes nothing. An
// invalid spec leaves the last accepted one in force.
//
// Readers take an immutable Snapshot. The configuration comes from the
// platform's watch and from peers, whichever is first.
package config
