// Package peer carries typed messages between instances.
//
// A call sends one message to the instance at an IP address and port and
// returns its response. Messages are CBOR over QUIC with mutual TLS. Each
// message has a kind, a version and a limited size. Malformed messages are
// refused and counted.
//
// A call that returns an error may still have taken effect. Receivers must
// therefore treat a message that arrives twice as if it had arrived once.
//
// There is one QUIC connection to each peer and one stream for each call. A
// connection that breaks, or on which several calls in a row get no response,
// is replaced at the next call. After a failed attempt to connect, calls fail
// immediately until a backoff has passed. Each end presents a certificate that
// holds its IP address. The same authority issues all certificates. Each
// request names the address at which its sender listens. If the IP address in
// it differs from the connection's, the request is refused.
//
// Package memnet has an in-memory network with the same interface, for tests.
package peer
