// Package enginecontrol brings engines to the state that the configuration asks
// for: models and adapters loaded, role set.
//
// A Controller periodically reads each engine's state and sends orders for what
// differs from the spec. If an order is lost, the next pass sends it again. An
// order that arrives twice has no further effect. A Controller sends orders only
// while its instance holds a lease, and each order carries the lease's fencing
// token. If less than CallTimeout of the lease is left, the Controller sends no
// order, so that each call has ended when the lease ends.
//
// An engine that checks the fencing token refuses orders of earlier lease
// holders. An engine that does not check it gets no order from a new lease
// holder until SettleTime after the start of the holder's term. SettleTime is
// the longest time for which an order of the previous holder is assumed to be in
// flight. If an order of that holder arrives even later and changes the
// engine's state, the Controller sees the change in its next pass and corrects
// the state. docs/LEASES.md describes the effects of such late orders.
package enginecontrol
