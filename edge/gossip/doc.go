// Package gossip lets the instances tell each other what each of them sees:
// who is there, how much work it has at which server, what failed, and which
// records of the catalog it holds.
//
// At each interval an instance sends one datagram to a few others, in turn. A
// datagram holds the sender's whole present state, so a lost one is made up for
// by the next, and there is no connection that can fall silent. An instance
// that lacks records which another one has fetches them over TCP.
//
// Addresses come from seeds and from the datagrams themselves. An instance that
// was heard of is sent to for a long time after it fell silent, so that two
// sides of a cut find each other again.
//
// Guarantees: what is told ages by at most one round where nothing is lost; an
// instance that was not heard for LiveTimeout counts as silent; nothing is concluded
// from silence beyond that.
package gossip
