// Package duty lets one instance at a time make calls to the platform on behalf of the whole
// deployment: reports of usage, and orders for servers.
//
// All duties share one lease, so the instance that holds it makes all the calls, and its fencing
// token serves for every duty and subject. A Holder acquires and renews the lease. A Guard makes
// the calls: one after another, within the rate that the platform takes, and only while the term
// lasts, which it checks right before each call. A call that can't end within the term is cut off.
//
// Receivers don't check fencing tokens. So a call that was sent and not answered keeps the lease
// from being released, and it expires instead. What remains is a process that is paused between
// the check and the write to the socket.
//
// docs/design/duties.md says what happens when a part fails.
package duty
