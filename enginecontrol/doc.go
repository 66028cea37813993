// Package enginecontrol brings engines to the state that the configuration asks
// for: models and adapters loaded, role set.
//
// A Controller periodically reads each engine's state and sends orders for what
// differs from the spec. A lost order is therefore sent again, and one that
// arrives twice has no further effect. The Controller works while it holds a
// lease, and each order carries the lease's fencing token. It sends no order
// that could still be in flight, by its own timeout, when the lease ends.
//
// An engine that checks the fencing token refuses orders of earlier lease
// holders. An engine that does not check it gets no order from a new lease
// holder until SettleTime after the start of the holder's term. SettleTime is
// the longest time for which an order of the previous holder is assumed to be in
// flight. The Controller keeps reading the engine's state for as long as it
// holds the lease, and corrects the state if an older order changed it.
// docs/LEASES.md describes what an order that arrives after SettleTime can still
// do.
package enginecontrol
