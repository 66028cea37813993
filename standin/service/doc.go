// Package service is a stand-in for a plain service whose calls may not be
// repeated. It runs every call that it starts and counts the runs by
// Idempotency-Key; it never suppresses a repetition, so that a test sees it.
//
// POST on any path but the stand-in's own is a call. The answer names the key,
// the number of the key's run and a digest of the request's body. A call that
// did not start is refused with engineapi.HeaderNotStarted. A run that began
// goes on when its caller leaves.
package service
