// Package rendezvous assigns duties to instances by rendezvous hashing.
//
// Instances with the same view of the membership compute the same order of
// instances for a duty. When an instance leaves, only its own duties move, each
// to the next instance in the duty's order. When an instance joins, it takes
// over only the duties for which it is first.
//
// If two instances have different views of the membership, consider a duty's
// order over the instances of both views. If the first instance in this order
// is in both views, the two instances still agree on who has the duty.
package rendezvous
