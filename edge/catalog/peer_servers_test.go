package catalog

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

// TestServerDeletedBesideKillOfWatchersIsGone guards against a server that is used for good
// because those that had learnt of its deletion ended before they passed it on, and the processes
// that took their place never knew the server.
func TestServerDeletedBesideKillOfWatchersIsGone(t *testing.T) {
	listed := func(version int64, records ...Record) *Catalog {
		c := New(plainDecoder{})
		c.MergeServerList(records, objects.Version{Revision: version}, start)
		return c
	}
	a, b := serverRecord("a", 4, BackendServer{}), serverRecord("b", 5, BackendServer{})
	survivor := listed(6, a, b)
	watcher := listed(8, b)
	// A peer that joined later than its peers know the store tells of a server that they lack.
	watcher.MergeEvents([]Record{serverRecord("c", 9, BackendServer{})}, objects.Version{Revision: 9}, start)
	changes := survivor.MergePeer(watcher.Servers(), start)
	expectEqual(t, "usable", availableIDs(survivor, start), "[b c]")
	expectEqual(t, "changes", len(changes), "2")
	expectEqual(t, "digests are the same", survivor.Digest() == watcher.Digest(), "true")
	// The survivor teaches the deletion further, also when its tombstone has expired.
	late := start.Add(tombstoneRetention + time.Second)
	survivor.MergeEvents([]Record{serverRecord("c", 10, BackendServer{})}, objects.Version{Revision: 10}, late)
	other := listed(6, a, b)
	other.MergePeer(survivor.Servers(), late)
	expectEqual(t, "usable at another one", availableIDs(other, late), "[b c]")
	survivor.MergePeer(listed(6, a, b).Servers(), late)
	expectEqual(t, "usable after an older peer", availableIDs(survivor, late), "[b c]")
}

// TestPeerThatIsBehindDeletesNothing guards against a peer that has just started, or knows an
// older state of the store, and makes others forget newer servers.
func TestPeerThatIsBehindDeletesNothing(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(secondEra, serverRecord("a", 6, BackendServer{})), in(secondEra, serverRecord("b", 7, BackendServer{}))}, at(secondEra, 8), start)
	for name, version := range map[string]objects.Version{
		"a peer that has just started": {}, "a peer with an older list": at(secondEra, 5), "a peer of an older era": at(firstEra, 90),
	} {
		c.MergePeer(PeerServers{Complete: version}, start)
		expectEqual(t, "usable after "+name, availableIDs(c, start), "[a b]")
	}
}
