// Package service is a stand-in for a service that is not a model engine and
// whose calls must not run twice. The stand-in does not prevent a second run: it
// ignores whether the idempotency key of a call is new. But it counts the runs
// of each key, so that a test can detect calls that ran twice.
//
// A POST on any path is a call, except on the stand-in's own paths. The
// response contains the idempotency key, how often the key has run, and a
// digest of the request body. The response to a refused call has
// engineapi.HeaderNotStarted. If the caller leaves, the run continues.
package service
