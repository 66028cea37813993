// Package service is a stand-in for a service that is not a model engine and
// whose calls must not run twice. It runs every call that it starts, also with
// an idempotency key that ran before, and counts the runs of each key. A test
// can thus detect calls that ran twice.
//
// A POST on any path is a call, except on the stand-in's own paths. The
// response contains the idempotency key, how often the key has run, and a
// digest of the request body. A call that is refused before it starts gets
// engineapi.HeaderNotStarted. A run continues after its caller has left.
package service
