// Package membership keeps a view of the instances of all data centres.
//
// At each interval a Group sends a heartbeat to one instance of its own data
// centre, taking all of them in turn, so an instance's traffic does not grow
// with their number. Heartbeats and their responses carry changed records and a
// digest of the sender's records. If digests stay different, the two instances
// exchange the records of the data centres that differ.
//
// If an instance does not respond, a few others are asked to reach it. It is
// suspected only if none of them succeeds, so a link that loses messages in one
// direction removes no instance. A suspect that learns of the suspicion refutes
// it; a suspect that does not refute it within the suspicion timeout is
// declared dead. A report that an instance is dead only makes it a suspect at a
// receiver that believes it alive: no instance is removed because of a single
// report. An instance that rejoins repeatedly is damped (given no duties) for a
// time that doubles with each further rejoin, up to a minute.
//
// Each start of a process has an incarnation number that is higher than the
// previous one at the same address. An instance that stops announces this
// first.
//
// A Group keeps a few contacts in every other data centre. Their responses
// bring the records of that data centre. The platform's list only supplies
// addresses to contact; it never proves that an instance is alive or dead.
//
// Views are immutable. Two instances may hold different views at any time, and
// callers must be correct nevertheless.
package membership
