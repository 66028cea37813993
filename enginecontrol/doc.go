// Package enginecontrol brings engines to the state that the configuration asks for:
// models and adapters loaded, role set.
//
// A Controller reads each engine's state again and again and orders what
// differs, so that a lost order is repeated and a doubled one does nothing. It
// works while it holds a lease, and each order carries the lease's fencing
// number. It sends no order that could still be on its way, by its own
// time-out, when the lease ends.
//
// An engine that checks the number refuses orders of earlier holders. For one
// that does not, a new holder sends nothing until SettleTime has passed since its
// term began. That is the longest time that an order of the holder before may
// be in flight. It reads the state back for as long as it holds the lease, and
// asserts it again if an older order changed it. docs/LEASES.md says what an
// order that is later than that can still do.
package enginecontrol
