// Package memnet is an in-memory network of peers, for tests.
//
// A Network has one Endpoint for each address. Cuts, delay, loss and freezes
// can be set at any time. If the request or the response of a call is lost, the
// call returns when its context ends. The package works under testing/synctest.
// Delays then take virtual time.
//
// A frozen endpoint models a paused process: it neither sends nor responds.
// Messages that arrive while an endpoint is frozen are queued, as in a socket,
// and served after the thaw.
package memnet
