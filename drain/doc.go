// Package drain finds out when a draining backend server has no requests left.
//
// For each server with Drain set, a StatusReporter asks every instance how many
// requests it has at the server, and adds up the counts. The server is empty if
// every instance responded, has the drain in force, and counted no request. If
// an instance vanishes without a call of InstanceLeft, it may be cut off and
// still run requests. For VanishedTimeout it therefore counts as an instance
// that did not respond. A StatusReporter asks only instances that it has seen
// since its own start. If an instance was cut off earlier, the StatusReporter
// does not know of it.
//
// Each instance must count a request first, then check Drain, then send the
// request. Under this condition an empty server stays empty.
//
// The StatusReporter writes the condition Drained and the number of requests in
// flight into the server's status: at once when the drain begins, at most once
// per WriteInterval while the number falls, and at once when the server is
// empty. While no server drains, the StatusReporter makes no call.
package drain
