// Package schedcore decides which request runs where, and which is refused.
//
// A Core serves one pool: the backend servers of one model version in one data
// centre. It is pure: no I/O, no goroutines, no clock and no global source of
// randomness. The caller collects events in an Input, calls Tick with the
// time, and carries out the Output. The same Core runs in the daemon, in the
// benchmark and in the replay of traces.
//
// Entities stand in tables (requests, backend servers, classes,
// organisations). Systems run over them in a fixed order each tick:
//
//   - apply takes in the events, which also teach the estimates;
//   - expire gives up what is past its deadline or its latest start;
//   - observe and limit follow the servers: a limit falls when the time between
//     tokens passes its target or first tokens come late, rises by trials, and a
//     failing or very slow server is set aside and probed, never more than half
//     of the pool;
//   - order works out which free slots a class leaves to others: a reserve for
//     the arrivals of higher tiers, and the floors of lower ones while a higher
//     one is refused;
//   - place gives free slots away: floors first, then the highest tier, then
//     the least slack, with organisations in turn by tokens over weight; the
//     server with the least expected time to the first token wins;
//   - admit refuses, at their arrival, requests whose expected wait passes their
//     latest start, and reviews the queue when the pool shrank; another data
//     centre's free slots are used first;
//   - preempt stops idempotent requests of lower tiers for those at their
//     latest start, the least work thrown away first;
//   - evictBelow refuses what waits below a request that was refused for
//     capacity, or preempted, at this tick;
//   - finish forgets old requests and works out when the next tick is due.
//
// Placement comes before admission, so that nothing is refused while a slot
// that it may use is free.
//
// A refusal for lack of room says when to come back. The time is booked: a
// request with the same prompt, class and organisation that comes back then is
// served before new ones of its class.
//
// Guarantees, whatever the order, loss or repetition of events:
//
//   - A request is refused for capacity, evicted or preempted at a tick only if
//     no request of a lower tier is left waiting, or is admitted outside its
//     class's floor, at that tick.
//   - A request that may have started is not granted again unless it is
//     idempotent, and is never finished as Refused. A ticket with an attempt
//     number, delivered tokens or a server counts as one that may have started.
//   - A server that drains is not granted to.
//   - Each ticket gets exactly one final answer: its Completion, its Withdrawal, a
//     Refusal, or a Referral, after which the other data centre answers. A
//     Referral is undone by the same ticket with Referred set.
//   - A lost Completion holds a slot for Options.RunningTimeout at most. FirstToken,
//     Progress and a repeated claim refresh it.
//
// An ended request is remembered for two minutes. A ticket that is repeated
// later than that counts as new.
//
// Auditor checks these guarantees from the inputs and outputs alone.
package schedcore
