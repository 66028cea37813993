// Package scheduler brings tickets to the one queue of their pool and returns
// the decisions about them. A ticket describes a waiting request. A pool is the
// set of a data centre's backend servers that serve one model. The entry
// instance of a request is the instance that received it from the caller.
//
// Submit takes a ticket and returns a session. The session delivers the
// decisions about the request until the request ends. Through the session, the
// entry instance also reports on the running attempt. Tickets and grants are soft
// state: they expire, and may be sent again with the same ID. No guarantee
// depends on a pool having only one scheduler.
//
// Local schedules in this process. Remote sends each ticket to the scheduler of
// its pool, an instance that package rendezvous chooses among the live instances.
// Remote also hosts sessions for the tickets that other instances send here. It
// works as follows:
//
//   - Messages are batched, and are sent again until they are acknowledged. A
//     message that arrives twice takes effect once.
//   - If a scheduler does not respond in time, its sessions move to the next
//     instance in rendezvous order. The ticket of a waiting request then states
//     how long the request has waited. The ticket of a running request claims the
//     slot that the request has at its backend server.
//   - Each assignment of a session to a scheduler has an epoch. If the entry
//     instance receives a decision of an earlier epoch, it drops the decision,
//     and the earlier scheduler frees the slot.
//   - The entry instance accepts one grant for each attempt, whichever scheduler
//     sends the grant. If a request may have run and must not run twice, the entry
//     instance accepts no further grant. Two schedulers of one pool can therefore
//     admit too many requests, but they cannot run a request twice.
//   - An instance that is cut off from all others of its data centre schedules
//     alone with a fraction of each server's slots.
package scheduler
