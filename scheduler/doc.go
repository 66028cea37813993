// Package scheduler brings tickets to the one queue of their pool and verdicts
// back.
//
// Submit hands in a ticket and returns a session. The session yields verdicts
// until a final one, and takes the entry instance's first-hand reports of the
// running attempt. Tickets and grants are soft state: they expire, and may be
// sent again with the same id. No safety promise rests on there being one
// scheduler.
package scheduler
