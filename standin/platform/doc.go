// Package platform is a stand-in for the platform's services: the object API
// that package api documents, and the list of instances.
//
// All state is in memory. One counter gives every write its revision. A watch
// replays the events after its start from a bounded history and then follows;
// a start before that history fails with 410 and code "compacted". A watcher
// that falls behind the history is cut off.
//
// Reads and writes have a rate each. Opening a watch counts as one read, and
// so does every further second in which it waits. A call over its rate gets
// 429 with Retry-After.
//
// An instance enters the list by PUT /instances/{name}, renews its entry by
// the same call and leaves by DELETE. The list lags, and an entry that is not
// renewed disappears after InstanceTTL.
//
// POST /faults switches the faults, GET /counters tells the calls so far.
package platform
