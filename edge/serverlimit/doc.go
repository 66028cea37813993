// Package serverlimit keeps the limits that backend servers name: the requests a second
// that a server takes from all instances together, for as long as its responses say so.
//
// A few instances, the holders, share each limit. They follow from a hash over the live
// instances. Instances tell each other what the servers' responses stated.
//
// The package does no I/O and reads no clock. Servers are keys of 32 bits.
//
// Guarantees:
//
//   - All instances that know a limit send the server, in any 4 s, at most one and a half
//     times what it takes and five requests more. This holds while instances come and go, and
//     on both sides of a partition together. It rests on no report of what others sent.
//   - An instance that can't reach the others keeps half of what it takes to be its share.
//   - A limit ends, or is raised, only by a response to a request that was sent after the
//     limit was last heard. Responses may overtake each other, so an older one says nothing.
//   - Of two limits that may be the current one, the lower counts.
package serverlimit
