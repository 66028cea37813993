// Package edge puts one entry instance on the users' platform together: the
// reverse proxy for callers' requests, the catalog that follows the platform's
// store, the gossip between instances, and the answers to the platform's
// question whether the instance is ready.
//
// Run serves until it is told to stop and then leaves: it is no longer ready,
// goes on serving while the platform still sends requests, closes each
// connection after its answer, and returns when the open requests have ended or
// the platform's grace is nearly over.
package edge
