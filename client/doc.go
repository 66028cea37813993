// Package client calls the operators' API of an instance.
//
// The command line uses it, and other programs can use it to manage the
// configuration. Writes are conditional. Apply writes a resource only if the
// resource has not changed since it was read. Otherwise Apply returns a
// *ConflictError with both versions.
package client
