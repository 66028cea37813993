// Package peer carries typed messages between instances.
//
// A call sends one message to an instance at an IP number and returns its
// answer. Messages are CBOR over QUIC with mutual TLS. Each has a kind, a
// version and a bounded size; a malformed one is refused and counted.
//
// A call that fails may have taken effect: receivers treat a repeated message
// as they treat the first.
package peer
