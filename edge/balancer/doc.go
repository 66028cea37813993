// Package balancer makes three decisions at each entry instance: which backend
// server a request goes to, whether a failed request may be retried on another
// server, and whether a request is refused.
//
// The package does no input or output, starts no goroutines and reads no clock:
// the caller passes in the time. A Balancer holds one state record for each
// server. The file balancer.go keeps these records. Each other file solves one
// problem, and begins with a comment that explains the problem.
//
// Each instance decides independently, from its own counters and from the last
// reports of the other instances. No guarantee depends on accurate reports. If
// a request may run only once, the code that sends requests makes sure that it
// is sent only once.
package balancer
