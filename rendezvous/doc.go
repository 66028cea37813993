// Package rendezvous orders instances for a duty by rendezvous hashing.
//
// Every instance with the same view computes the same order. When an instance
// leaves, only the duties it held move, each to the next in its own order; when
// one joins, it takes only what it now holds. Instances whose views differ
// agree about each duty for which the first of one order is in both views and
// no newcomer stands before it.
package rendezvous
