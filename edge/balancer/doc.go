// Package balancer decides, at each entry instance, which backend server a
// request goes to, whether it may be retried on another server after a failure,
// and when it is refused.
//
// The package does no input or output, starts no goroutines and reads no clock:
// the caller passes in the time. A Balancer holds one state record for each
// server. The file balancer.go keeps these records. Each other file implements
// one concern on them and begins with a comment on the problem that it solves.
//
// Each instance decides independently, from its own counters and from the last
// reports of the other instances. No guarantee depends on the reports being
// accurate: that a request which may run only once is sent only once is enforced
// by the code that sends requests.
package balancer
