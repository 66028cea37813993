// Package scheduler brings tickets to the one queue of their pool and verdicts
// back.
//
// Submit hands in a ticket and returns a session. The session yields verdicts
// until a final one, and takes the entry instance's first-hand reports of the
// running attempt. Tickets and grants are soft state: they expire, and may be
// sent again with the same id. No safety promise rests on there being one
// scheduler.
//
// Local schedules in this process. Remote brings tickets to the instance that
// package rendezvous names in the live view, and hosts those that others bring here:
//
//   - Messages go in batches, are acknowledged, and are sent again until they
//     are. A message that comes twice acts once.
//   - A scheduler that gives no answer within the limit is passed over: its
//     sessions move to the next instance in order, waiting ones with the time
//     they waited, running ones as claims of their server's capacity.
//   - Each stay of a session at a scheduler has an epoch. A verdict of an
//     earlier stay is dropped, and its capacity given back.
//   - The entry instance accepts one grant for an attempt, and none for a
//     request that may have run and may not run again, whoever grants it. Two
//     schedulers of one pool can admit too much; they cannot run a request
//     twice.
//   - An instance that is alone schedules with a share of each server's slots.
package scheduler
