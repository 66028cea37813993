// Package memnet is a network of peers in one process, for tests.
//
// A Network has one Endpoint for each address. Cuts, delay, loss and freezes
// can be switched at any time. A lost message is never answered: the call
// returns at the end of its context. It works under testing/synctest, where
// delays take virtual time.
//
// A frozen endpoint neither sends nor answers. What reaches it meanwhile is
// kept and served once it thaws, as a paused process finds it in its socket.
package memnet
