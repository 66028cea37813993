// Package drain finds out when a draining backend server has no requests left.
//
// For each server with Drain set, a Reporter asks every instance how many
// requests it has at the server, and adds up the counts. The server is empty if
// every instance responded, has the drain in force, and counted no request. An
// instance that vanished without a call of InstanceLeft counts as one that did
// not respond until VanishedTimeout has passed, since it may be cut off and
// still run requests. A Reporter knows only the instances that it has seen since
// its own start: it does not ask an instance that was cut off before that start.
//
// An empty server stays empty, provided that each instance counts a request
// before it checks Drain and sends the request. The Reporter writes the
// condition Drained and the number of requests in flight into the server's
// status: at once when the drain begins, at most once per WriteInterval while
// the number falls, and at once when the server is empty. While no server drains
// the Reporter makes no call.
package drain
