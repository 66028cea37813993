// Package gossip exchanges state between entry instances: which instances exist, how
// many requests each has at which backend server, how often attempts failed there, what servers
// said of themselves, at which software versions streams may begin, which instances reach no
// server, and which records of the catalog each instance holds.
//
// In each round, every tenth of a second, an instance sends one datagram to each of a
// few others, in rotation. A datagram holds the sender's whole current state, so the
// next datagram makes up for a lost one, and there is no connection that could hang. An
// instance that lacks records that another one has fetches them over TCP.
//
// Addresses come from the seeds, which are configured, and from the datagrams. After
// an instance fell silent, datagrams are still sent to it for a long time, so that the
// two sides of a network partition find each other again.
//
// Guarantees: without packet loss, received state is not older than the duration of
// one full rotation over the instances. If nothing was received from an instance for
// LiveTimeout, the instance counts as silent. It may still be running: nothing else
// is concluded from its silence.
package gossip
