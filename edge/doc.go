// Package edge assembles an entry instance: a process that accepts callers' requests
// and forwards them to backend servers.
//
// The instance runs on a platform that starts and stops it, gives it a settings file,
// checks whether it is ready for requests, and keeps the operator's configuration and
// the list of backend servers in a metadata store. The instance consists of the
// reverse proxy for the requests, the catalog that watches the metadata store, the
// gossip with other entry instances, and the endpoint for the readiness check.
//
// Run serves until its context ends, and then shuts down: the readiness check fails
// from then on, requests that still arrive are served, and each connection is closed
// after its response. Run returns when the open requests have ended or shortly before
// the end of the grace period that the platform allows for a shutdown.
package edge
