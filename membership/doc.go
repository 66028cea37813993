// Package membership keeps a view of the instances of all data centres.
//
// A Group sends heartbeats to one instance of its own data centre at each
// interval, each in its turn, so the traffic of an instance does not grow with
// their number. Changes travel with the heartbeats and their answers. Both
// carry a digest of the sender's records; when digests stay different, the two
// exchange the records of the data centres that differ.
//
// An instance that does not answer is asked through others. Only if none of
// them reaches it either it is suspected, so a link that loses one way removes
// nobody. A suspect that hears of it refutes; one that stays silent until the
// suspicion timeout is dead. Word of a death is a suspicion to whoever holds
// the instance to be live: no instance removes another on one's word. An
// instance that comes back again and again is damped for a while, longer each
// time.
//
// Each start of a process has an incarnation number, higher than the last one
// at the same address. An instance that leaves says so before.
//
// To every other data centre a Group keeps a few contacts. Their answers bring
// the records of their data centre. The platform's list is a source of
// addresses to contact, never proof of life or death.
//
// Views are immutable. Two instances may hold different views at any time;
// callers must be right in spite of it.
package membership
