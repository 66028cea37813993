// Package routing finds what a caller's request is: whose it is, which class
// serves it, and which model version or service answers.
//
// An Index is built once from a configuration snapshot and is immutable.
// Look-ups take no lock. The same request always gets the same version, so a
// retry of it stays with the version that it began with.
package routing
