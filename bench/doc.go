// Package bench measures the decisions of schedcore under load, in virtual
// time.
//
// Run simulates a Workload with a Policy: the core, which is schedcore, or one
// of the baselines, which are simpler policies to compare the core with. One
// event loop on one goroutine simulates callers, entry instances, engines and
// faults; the network is a fixed delay. The policy sees only what entry
// instances and engines report, at the time at which the report would reach the
// scheduler. Tickets and reports on an attempt take one or two network delays;
// load reports and cache hints take one or two seconds.
//
// Guarantees:
//
//   - The same workload, policy and seed give the same Result.
//   - The arrivals, prompts and answers of a seed don't depend on the policy.
//   - Priority inversions and broken guarantees are counted by the simulation
//     from what it observed, not taken from the policy.
package bench
