// Package catalog holds the operator's configuration and the registered backend
// servers, as an entry instance knows them.
//
// A Catalog merges Records. Each Record is a whole object of the platform's metadata
// store. Records come from the store's lists and watches and from other instances, in any
// order and possibly several times. The record with the highest version wins,
// so all catalogs that received the same records have the same content.
//
// A version is an era of the store and a revision. An era begins when the store comes back
// from an older copy; revisions are given out again then. docs/DESIGN.md says how the
// content of two eras is merged.
//
// Guarantees:
//
//   - The configuration's version never decreases in the lifetime of a Catalog. If
//     a new configuration can't be decoded, or the configuration's record is deleted,
//     the previous configuration stays in force. This holds across eras.
//   - A server whose entry can't be decoded is not used. Other entries are not
//     affected.
//   - A server that announced that it leaves, or whose entry was deleted, is used
//     again only after a record with a higher version. The entry of an older copy does
//     not count as one, for departureHold.
//   - Catalogs that teach each other agree on which servers were deleted, also if no catalog
//     is left that saw the deletion: PeerServers states up to which version it is whole.
//   - A server that the store has lost is used for entryReturnTime more.
//
// Readers use an immutable Snapshot.
package catalog
