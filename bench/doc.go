// Package bench measures the decision core under load, in virtual time.
//
// Run plays a Workload through a Policy: the core, or one of the baselines.
// One event loop on one goroutine holds callers, entry instances, engines and
// faults; the network is a fixed delay. The policy sees only what entry
// instances and engines tell it, at the time at which it would reach the
// scheduler: tickets, first tokens, progress, ends and failures at first hand,
// load reports and cache events late.
//
// Guarantees:
//
//   - The same workload, policy and seed give the same Result.
//   - The arrivals, prompts and answers of a seed don't depend on the policy.
//   - Counts of priority inversions and of broken promises are kept by the
//     driver from what it saw, not taken from the policy.
package bench
