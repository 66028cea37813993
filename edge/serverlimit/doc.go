// Package serverlimit keeps the limits that backend servers name: the requests a second
// that a server takes from all instances together, for as long as its responses say so.
//
// The package does no I/O and reads no clock. Servers are keys of 32 bits.
//
// Guarantees:
//
//   - A limit ends, or is raised, only by a response to a request that was sent after the
//     limit was last heard. Responses may overtake each other, so an older one says nothing.
//   - Of two limits that may be the current one, the lower counts.
package serverlimit
