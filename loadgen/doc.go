// Package loadgen is an open-loop load generator that sends requests to the
// router's address for callers. Arrival times don't depend on when earlier
// requests are answered.
//
// Each class of a Workload has its own arrivals (Poisson, with bursts), lengths
// and caller behaviour: some callers leave early, and some return after the
// Retry-After time of a refusal. All latencies count from the time at which a
// request was due, so a slow load generator can't make the router look faster
// than it is.
//
// Run also checks the guarantees to callers and counts each violation:
//
//   - An answer is complete and the caller's own.
//   - A refusal says whether the request ran.
//   - A call with an idempotency key runs at most once.
//   - If a caller is told that its request did not run, the request did not
//     run.
//
// Run can check answers because the stand-in engines derive each answer from
// its prompt (package answer).
//
// A request is counted once, by its final outcome. A caller that returns after
// a refusal still counts as one request.
package loadgen
