// Package serve builds an entry instance from its components: listeners,
// configuration, membership, schedulers, the proxy and the operators' API.
//
// Start opens the listeners and returns. Run serves until its context ends and
// then leaves gracefully: it stops being ready, refuses new requests, announces
// that it leaves, and hands its pools over. Run returns once the open requests
// have ended or the drain timeout has passed.
package serve
