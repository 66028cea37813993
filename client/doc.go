// Package client calls the operators' API of an instance.
//
// It is what the command line uses, and what others embed to drive the system.
// Writes are conditional: Apply writes a resource only if it did not change
// since it was read, and otherwise returns a *ConflictError with both versions.
package client
