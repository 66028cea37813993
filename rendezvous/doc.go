// Package rendezvous assigns duties to instances by rendezvous hashing.
//
// Instances with the same view of the membership compute the same order of
// instances for a duty. When an instance leaves, only its own duties move, each
// to the next instance in the duty's order. When an instance joins, it takes
// over only the duties for which it is first.
//
// Two instances with different views of the membership still agree on a duty if
// the first of all instances in either view is in both views.
package rendezvous
