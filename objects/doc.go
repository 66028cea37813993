// Package objects is a client of the platform's object API over HTTP.
//
// Each call has a timeout and bounds the size of the response. The error of a
// failed call says whether it can have taken effect: ErrUncertain means that a
// write was sent and got no readable response, so it may have been applied. Every
// other error means that the call changed nothing.
//
// The client does not retry calls. A Client is safe for concurrent use.
package objects
