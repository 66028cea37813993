// Package objects is a client of the platform's object API over HTTP.
//
// Each call ends within its timeout and reads a bounded answer. A failed call
// says whether it can have taken effect: ErrUncertain means that no answer
// came after the request was sent, so a write may be in force. Every other
// error means that the call changed nothing.
//
// The client repeats no call. A Client is safe for concurrent use.
package objects
