// Package streamorigin knows at which software version a stream began, so that a stream goes
// on only at servers of that version. What two versions write doesn't fit together.
//
// A caller may take a stream up at any instance, also after all of them were killed. What an
// instance must know then lies in the metadata store: one listing of the versions at which
// streams may have begun, and, only while the listing holds more than one version of a
// service, one object a process with the attempts that began recently.
//
// Guarantees:
//
//   - An instance begins a stream at a version only after it knows that the listing holds the
//     version: it wrote or read that itself, or a peer did.
//   - A stream's origin is taken from this process's memory, from a stored attempt, or from a
//     listing with a single version that was read after the caller had come back. An origin
//     is never guessed: without one of these it is unknown.
//   - A version stays listed for retireAfter after its last server was seen. No caller comes
//     back that late.
//   - After the store came back from an older copy, the listing is not trusted until it was
//     written again, and then holds an unnamed version for retireAfter.
//
// An attempt is written some milliseconds after its first event. If its process is killed
// before that, the origin is unknown.
package streamorigin
