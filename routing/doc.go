// Package routing resolves a caller's request: the organisation that it belongs
// to, the class that it is served in, and the model version or service that it
// goes to.
//
// An Index is built once from a configuration snapshot and is immutable, so
// look-ups take no lock. The same request always gets the same version, so that
// its retries stay with the version of the first attempt.
package routing
