// Package drain says when a leaving backend server is empty.
//
// For each server with Drain set, a Reporter asks every instance how many
// requests it has at the server, and sums the answers. The server is empty if
// every instance answered, had the drain in force, and counted none. An
// instance that stopped being seen without InstanceLeft counts as one that did not
// answer until VanishedTimeout has passed, since it may be cut off and still run
// requests. A Reporter remembers instances from its own start on: one that was
// cut off before that is not among those it asks.
//
// An empty server stays empty, provided that each instance counts a request
// before it checks Drain and sends. The Reporter writes the condition Drained
// and the number in flight into the server's status: at once when it begins,
// at most every WriteInterval while the number falls, and at once when it is
// empty. While nothing drains it makes no call.
package drain
