// Package chaos runs a small system in one process under random faults and
// checks after each step that the guarantees to its users still hold.
//
// Package demo provides the system: the stand-in platform, model engines,
// plain services, and four to six entry instances in two data centres. The
// instances exchange messages over an in-memory network that can lose messages,
// cut links and freeze instances. Each step sends load, injects one or two
// faults during the load, ends the faults, and checks the guarantees. One seed
// determines all random choices, but not the timing within a step, so a seed
// that failed once may need several runs to fail again.
//
// The guarantees, by their names in the report:
//
//   - answers: no caller gets a wrong, partial or another caller's answer as a
//     complete one. A request whose caller was told that it was not run does
//     not run, neither in its step nor later.
//   - at_most_once: no idempotency key runs twice, counted over all services.
//   - draining: a draining server gets no request later than DrainLimit after
//     the write was accepted, provided that the write could reach every
//     instance. After the step its status reports it as drained. If the drain
//     is the only fault, no request ends with an unknown outcome; the same
//     holds if an instance that leaves is the only fault.
//   - configuration: no instance returns to an older version of a resource. An
//     instance that restarts does not become ready with a revision lower than
//     those of all instances that it can reach. After the faults end, all
//     instances hold what the platform accepted. Of two concurrent writes by
//     operators at most one is accepted, and exactly one if the step has no
//     other fault.
//   - answered: every request gets its final outcome within RecoveryTimeout
//     after the faults end.
//   - served: after the faults end, every running instance becomes ready and a
//     request of each class completes.
//   - scheduling: the Auditor of package schedcore finds no broken rule.
//
// Not covered:
//
//   - A freeze stops an instance's exchange with other instances, not its whole
//     process.
//   - Leases and orders to engines are used, but not checked.
//   - Later steps check again that refused prompts did not run, but not that
//     refused idempotency keys did not run, because a caller may return with
//     the same key.
//   - Latencies and the attainment of latency targets are not checked.
//
// No check depends on the speed of the machine. Apart from DrainLimit, which is
// a requirement of the users, a check waits until its condition holds, for at
// most RecoveryTimeout.
package chaos
