// Package platform is a stand-in for the services of the platform on which the
// router runs: the object API that package api documents, and the list of
// instances.
//
// All state is kept in memory. Each write of an object increments one revision
// counter, whose value becomes the object's version. A watch first replays the
// events after its start version from a bounded history and then sends new
// events as they come. A watch that starts before the oldest event of the
// history fails with status 410 and code "compacted". A watch that falls behind
// the history is closed.
//
// Reads and writes have separate rate limits. Opening a watch counts as one
// read, and so does each second in which the watch stays open. A call over its
// limit gets status 429 with Retry-After.
//
// PUT /instances/{name} adds an instance to the list or renews its entry, and
// DELETE removes it. The list shows changes with a delay. An entry that is not
// renewed disappears after Options.InstanceTTL.
//
// POST /faults sets the faults that the stand-in injects. GET /counters returns
// counters of the calls.
package platform
