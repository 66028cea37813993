// Package chaos runs a small system in one process under random faults and
// checks after each step that the guarantees to its users still hold.
//
// Package demo provides the system: the stand-in platform, model engines,
// plain services, and four to six entry instances in two data centres. The
// instances exchange messages over an in-memory network that can lose messages,
// cut links and freeze instances. Each step sends load, injects one or two
// faults during the load, ends the faults, and checks the guarantees. One seed
// determines all random choices, but not the timing within a step. A seed that
// failed once may therefore need several runs to fail again.
//
// The guarantees, by their names in the report:
//
//   - answers: an answer that a caller gets as complete is whole, correct and
//     the caller's own. If a caller was told that its request did not run, the
//     request runs neither in this step nor in a later one.
//   - at_most_once: no idempotency key runs twice, counted over all services.
//   - draining: an operator's write sets a server to drain. If this write could
//     reach every instance, the server gets no request later than DrainLimit
//     after the write was accepted. After the step, the server's status reports
//     the server as drained. If the only fault of a step is a drain or a
//     leaving instance, no request ends with an unknown outcome.
//   - configuration: no instance returns to an older version of a resource. When
//     a restarted instance becomes ready, its revision is at least the lowest
//     one among the instances that it can reach. After the faults end, all
//     instances hold what the platform accepted. Of two concurrent writes to
//     one resource, at most one is accepted. Exactly one is accepted if the
//     step has no other fault.
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
// DrainLimit is a requirement of the users. All other checks are independent of
// the speed of the machine: a check waits until its condition holds, for at most
// RecoveryTimeout.
package chaos
