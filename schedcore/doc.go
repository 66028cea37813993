// Package schedcore decides which request runs on which backend server, and
// which request is refused.
//
// A Core decides for one pool: the backend servers of one model version in one
// data centre. It is pure: it has no I/O, goroutines, clock or global source of
// randomness. The caller collects events in an Input, calls Tick with the
// current time and carries out the decisions in the Output. The daemon, the
// benchmark and the replay of traces run the same Core.
//
// A request's latest start is the last moment at which it can start and still
// meet its class's targets and its deadline. A request's slack is the time left
// until its latest start. A class's floor is the share of the pool's slots that is
// reserved for the class.
//
// Requests, backend servers, classes and organisations are kept in tables. Each
// tick runs these phases over the tables, in this order:
//
//   - applyInput applies the events, which also update the estimates;
//   - expireRequests ends waiting requests past their latest start, and running
//     requests past their deadline or without an event for too long;
//   - recordInFlight and updateLimits track the load and health of the servers.
//     A server's concurrency limit falls when the time between tokens exceeds
//     its target or first tokens come late. Periods of full use raise the limit
//     up to the configured slots; limit probes can raise it further. A failing
//     or very slow server is ejected and probed, but never more than half of
//     the pool is ejected;
//   - computeReserves computes how many free slots each class must leave to
//     others: a reserve for arrivals in higher tiers and, for a short time
//     after a refusal for capacity or a preemption, the floors of lower tiers;
//   - grantFreeSlots grants free slots: first to classes below their floor, then
//     to the highest tier, then to the class with the least slack. Organisations
//     of a class share by weight, counted in tokens. The server with the lowest
//     expected time to the first token is chosen;
//   - grantLimitProbe sends one request beyond a full server's limit, to learn
//     whether the limit may rise;
//   - checkAdmission refuses arriving requests whose expected wait ends after
//     their latest start, and queued requests that the pool can no longer serve
//     in time. If another data centre has reported free slots, the request is
//     referred there instead;
//   - preemptLowerTiers stops idempotent requests of lower tiers in favour of
//     requests at their latest start. It chooses the request that loses the
//     least work;
//   - evictLowerTiers refuses all requests that wait in a lower tier than a
//     request that was refused for capacity or preempted at this tick;
//   - finishTick forgets requests that ended long ago and computes when the next
//     tick is due.
//
// Slots are granted before admission is checked, so that no request is refused
// while a slot that it may use is free.
//
// A refusal for lack of capacity carries a Retry-After time and reserves a
// place in the queue: a request with the same prompt, class and organisation
// that arrives at that time is served before new requests of its class.
//
// The core guarantees the following, even if events are reordered, lost or
// duplicated:
//
//   - A request is refused for capacity, evicted or preempted at a tick only if,
//     after that tick, no request of a lower tier is left waiting and none was
//     granted at that tick outside its class's floor.
//   - A request that may have started is granted again only if it is idempotent,
//     and its final outcome is never Refused. If a ticket has an attempt number,
//     delivered tokens or a server, its request counts as one that may have
//     started.
//   - A draining server gets no grants.
//   - Each request ends exactly once: by its Completion, its Withdrawal, a Refusal
//     or a Referral. After a Referral the other data centre decides. If the
//     ticket later arrives here with Referred set, the request is open here
//     again.
//   - A lost Completion holds a slot for Options.RunningTimeout at most.
//     FirstToken, Progress and a repeated claim restart that timeout.
//
// The core remembers an ended request for two minutes. A duplicate ticket that
// arrives later counts as a new request.
//
// Auditor checks these guarantees from the inputs and outputs alone.
package schedcore
