// Package memoryaccount bounds the memory of a process that grows with what comes from outside:
// connections of callers, heads and bodies of requests while they are read and kept, and responses
// that callers have not taken yet.
//
// An Account has a capacity in bytes. Whoever is about to hold something for a caller takes its
// bytes from the account with a Reservation before it allocates them, and gives them back when they
// are no longer held.
//
// Guarantees:
//
//   - What reservations have taken with Grow and TryGrow never exceeds the capacity, less what was
//     taken with Force. Force is for what the process must hold anyway; its users are bounded
//     elsewhere.
//   - Nothing that was granted is taken back.
//   - Grow waits a bounded time. If memory stays short, the newest of the reservations that wait,
//     of the party that holds most, is refused first. So the oldest go on to their end, and small
//     requests of other parties find memory.
//
// A party is a caller's address or an organisation. What one party holds may grow only to a
// multiple of what is free, so one party alone never takes all.
package memoryaccount
