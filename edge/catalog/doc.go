// Package catalog holds the operator's configuration and the registered backend
// servers, as an entry instance knows them.
//
// A Catalog merges Records. Each Record is a whole object of the platform's metadata
// store. Records come from the store's lists and watches and from other instances, in any
// order and possibly several times. The record with the highest revision wins,
// so all catalogs that received the same records have the same content.
//
// Guarantees:
//
//   - The configuration's version never decreases in the lifetime of a Catalog. If
//     a new configuration can't be decoded, or the configuration's record is deleted,
//     the previous configuration stays in force.
//   - A server whose entry can't be decoded is not used. Other entries are not
//     affected.
//   - A server that announced that it leaves, or whose entry was deleted, is used
//     again only after a record with a higher revision.
//
// Readers use an immutable Snapshot.
package catalog
