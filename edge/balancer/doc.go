// Package balancer decides, at each entry instance, to which backend server a
// request goes, whether it may go to another one after a failure, and when it
// is turned away.
//
// It is pure: no input or output, no goroutines and no clock. Times are handed
// in. Entities stand in one table of servers; the files hold the systems that
// run over it, each opening with the load that it answers.
//
// Each instance decides for itself, on its own counts and on what the others
// reported last. No promise rests on these being right: what must hold (a
// request that may run once is sent once) stands beside the send.
package balancer
