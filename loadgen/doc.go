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
// Run also checks the guarantees to callers and counts each violation: an
// answer is complete and the caller's own; a refusal says whether the request
// ran; a call with an idempotency key runs at most once; and a request whose
// caller is told that it did not run does not run. Run can check answers
// because the stand-ins derive them from the prompt (package answer).
//
// A request is counted once, by its final outcome. A caller that returns after
// a refusal still counts as one request.
package loadgen
