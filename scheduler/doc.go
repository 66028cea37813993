// Package scheduler brings tickets to the one queue of their pool and returns
// the decisions about them. A ticket describes a waiting request. A pool is the
// set of a data centre's backend servers that serve one model. The entry
// instance of a request is the instance that received it from the caller.
//
// Submit takes a ticket and returns a session. The session delivers decisions
// until a final one, and accepts the entry instance's own reports on the
// running attempt. Tickets and grants are soft state: they expire, and may be
// sent again with the same ID. No guarantee depends on a pool having only one
// scheduler.
//
// Local schedules in this process. Remote sends tickets to the instance that
// package rendezvous chooses among the live instances, and hosts the sessions of
// tickets that other instances send here:
//
//   - Messages are batched and acknowledged, and are sent again until they are
//     acknowledged. A message that arrives twice takes effect once.
//   - If a scheduler does not respond in time, its sessions move to the next
//     instance in rendezvous order. A waiting request keeps the time it has
//     waited; a running one claims its slot at its backend server from the new
//     scheduler.
//   - Each assignment of a session to a scheduler has an epoch. A decision of an
//     earlier assignment is dropped and its slot is given back.
//   - The entry instance accepts one grant for each attempt, whichever scheduler
//     sends it, and none for a request that may have run and must not run twice.
//     Two schedulers of one pool can admit too many requests, but they cannot
//     run a request twice.
//   - An instance that is cut off from all others of its data centre schedules
//     alone with a fraction of each server's slots.
package scheduler
