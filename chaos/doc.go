// Package chaos runs a small system in one process under random faults, and
// checks what its users were promised at the end of every step.
//
// The system is that of package demo: the stand-in platform, model engines and
// plain services, and four to six entry instances in two data centres, linked
// by a network in memory that loses, cuts and freezes. A step sends load,
// injects one or two faults while it runs, heals, and checks. All draws come
// from one seed; when things happen within a step is up to the machine, so a
// seed that failed once may need several runs to fail again.
//
// The promises, and how each is checked:
//
//   - answers: no caller got a wrong, partial or foreign answer as a whole one,
//     and a request whose caller was told that it was not run was not run, then
//     or in any later step;
//   - at most once: no idempotency key ran twice, over all services;
//   - draining: a server that drains starts nothing later than DrainLimit after
//     the accepted write, provided that the write could reach every instance;
//     its status says that it is empty in the end; and where nothing but the
//     drain happened, no request ended unknown;
//   - configuration: no instance ever shows an older version than before, also
//     not one that started again beside others that know better; after healing
//     all hold what the platform accepted; of two operators one at most wins,
//     and exactly one if nothing else is at fault;
//   - answered: every request gets its final outcome within RecoveryTimeout of the
//     healing;
//   - served: after healing, a request of each class completes;
//   - scheduling: package schedcore's Auditor finds nothing at any tick.
//
// Not covered: a freeze stops an instance's exchange with the others, not its
// whole process; leases and orders to engines are run but not checked; "not
// run" is asked again in later steps for prompts only, not for keys, since a
// caller may come back with one; latencies and attainment are not judged.
//
// No check rests on how fast the machine is: besides DrainLimit, which the
// users set, they wait until something holds, for at most RecoveryTimeout.
package chaos
