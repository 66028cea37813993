// Package loadgen is an open-loop load generator for the router's callers'
// address: requests arrive by their own clock, whether or not earlier ones
// were answered.
//
// Each class of a Workload has its arrivals (Poisson, with bursts), lengths
// and habits: some callers leave early, some come back when a refusal tells
// them to. All latencies count from the moment at which a request was due, so
// that a slow generator does not flatter the router.
//
// Run also checks what callers were promised and counts each breach as a
// violation: the answer is whole and the caller's own, a refusal says whether
// the request ran, a call with an idempotency key ran at most once, and what a
// caller was told was not run was not run. It knows the right answers because
// the stand-ins derive theirs from the prompt (package answer).
//
// A request is counted once, by its final outcome: a caller that comes back is
// still one request.
package loadgen
