// Package decision decides which request runs where, and which is refused.
//
// A Core serves one pool: the backend servers of one model version in one data
// centre. It is pure: no I/O, no goroutines, no clock and no global source of
// randomness. The caller collects events in an Input, calls Tick with the
// time, and carries out the Output. The same Core runs in the daemon, in the
// benchmark and in the replay of traces.
//
// Entities stand in tables (requests, backend servers, classes,
// organisations). Systems run over them in a fixed order each tick: apply
// events, expire, observe, limit, order, admit, place, refer, finish.
//
// Guarantees, whatever the order, loss or repetition of events:
//
//   - A request is refused or preempted at a tick only if no request of a lower
//     tier is left waiting, or is admitted outside its class's floor, at that
//     tick.
//   - A request that may have started is not granted again unless it is
//     idempotent, and is never finished as Refused.
//   - A server that drains is not granted to.
//   - Each ticket gets exactly one final answer.
package decision
