// Package peer carries typed messages between instances.
//
// A call sends one message to an instance at an IP number and returns its
// answer. Messages are CBOR over QUIC with mutual TLS. Each has a kind, a
// version and a bounded size; a malformed one is refused and counted.
//
// A call that fails may have taken effect: receivers treat a repeated message
// as they treat the first.
//
// QUIC keeps one connection for each peer and opens one stream for each call.
// A connection that breaks, or on which calls go unanswered in a row, is
// replaced at the next call; after a failed attempt to connect, calls fail at
// once until a backoff has passed. Both ends present a certificate of the same
// authority that holds their IP number. Each message names the address at which
// its sender listens; one with another IP number than the connection's is
// refused.
//
// Package memnet has a network in one process with the same interface.
package peer
