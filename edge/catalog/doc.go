// Package catalog holds what an entry instance believes of the users'
// platform: the one configuration that the operator wrote, and the backend
// servers that registered themselves.
//
// A Catalog merges Records, whole objects as the platform holds them. Records
// come from the platform's lists and watches, and from other instances, in any
// order and any number of times. The record with the highest revision wins, so
// all tables that received the same records hold the same.
//
// Guarantees:
//
//   - The configuration's version never falls in the life of a Catalog. One that
//     can't be read, or one that is missing, leaves the last one in force.
//   - A server whose entry can't be read is no server, and no other entry
//     suffers from it.
//   - A server that was seen to leave, or whose entry is gone, comes back only
//     with a record of a higher revision.
//
// Readers take an immutable Snapshot.
package catalog
