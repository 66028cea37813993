// Package membership keeps a view of the instances of all data centres.
//
// At each interval a Group sends a heartbeat to the next instance of its own
// data centre. So the traffic of an instance does not grow with the number of
// instances. Heartbeats and their responses carry changed records and a digest
// of the sender's records. If the digests of two instances keep differing, the
// instances exchange the records of the data centres whose digests differ.
//
// If an instance does not respond to a heartbeat, the sender asks a few other
// instances to reach it. The instance becomes a suspect only if none of them
// reaches it. So a link that loses messages in one direction removes no
// instance. A suspect that learns of the suspicion refutes it. A suspect that
// does not refute it within the suspicion timeout is declared dead. A report of
// an instance's death only makes a live instance a suspect, so a single report
// removes no instance. An instance that rejoins repeatedly is damped (given no
// duties) for a time that doubles with each further rejoin, up to a minute.
//
// Each process has an incarnation number. It is higher than the number of the
// previous process at the same address. An instance announces that it leaves
// before it stops.
//
// A Group also sends heartbeats to a few contacts in every other data centre.
// Their responses carry the records of that data centre. The platform's list
// only supplies addresses to contact; it never proves that an instance is alive
// or dead.
//
// Views are immutable. The views of two instances may differ at any time, so
// callers must not rely on equal views.
package membership
