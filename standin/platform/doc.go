// Package platform is a stand-in for the services of the platform on which the
// router runs: the object API that package api documents, and the list of
// instances.
//
// All state is kept in memory. All objects share one revision counter. Each
// write increments the counter and gives its value to the object as the version.
//
// A watch first replays the events after its start version from a bounded
// history. Then it sends new events as they come. If the history lacks events
// after the start version, the call fails with status 410 and code "compacted".
// If the history drops events that an open watch has not sent, the watch is
// closed.
//
// Reads and writes have separate rate limits. Opening a watch counts as one
// read. Each second of an open watch counts as another read. A call over its limit
// gets status 429 with Retry-After.
//
// PUT /instances/{name} adds an instance to the list or renews its entry. DELETE
// on the same path removes the entry. The list shows changes with a delay. An
// entry that is not renewed disappears after Options.InstanceTTL.
//
// POST /faults sets the faults that the stand-in injects. GET /counters returns
// the Counters.
package platform
