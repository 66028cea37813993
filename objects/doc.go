// Package objects is a client of the platform's object API over HTTP.
//
// Each call has a timeout and a limit on the size of the response. The error of a
// failed call says whether the call can have taken effect. ErrUncertain means that
// a write was sent but got no readable response, so the write may have been
// applied. Every other error means that the call changed nothing.
//
// The client does not retry calls. A Client is safe for concurrent use.
package objects
