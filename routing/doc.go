// Package routing resolves a caller's request. It finds the request's
// organisation, its class, and the model version or service that the request
// goes to.
//
// An Index is built once from a configuration snapshot and is immutable, so
// look-ups take no lock. A request ID always gets the same version, so the
// retries of a request use the version of its first attempt.
package routing
