// Package memnet is an in-memory network of peers, for tests.
//
// A Network has one Endpoint for each address. Cuts, delay, loss and freezes
// can be set at any time. A call whose message or response is lost returns when
// its context ends. The package works under testing/synctest, where delays take
// virtual time.
//
// A frozen endpoint models a paused process: it neither sends nor responds.
// Messages that reach it meanwhile are queued, as in a socket, and served after
// the thaw.
package memnet
