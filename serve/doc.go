// Package serve puts one entry instance together: listeners, configuration,
// membership, schedulers, the proxy and the operators' API.
//
// Start listens and returns; Run serves until its context ends and then leaves
// gracefully: it is no longer ready, refuses new requests, announces that it
// leaves, hands its pools over, and returns after its open requests ended or
// the drain timeout passed.
package serve
