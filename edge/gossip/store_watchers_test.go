package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// TestAllInstancesWatchStoreAtStart guards against a start in which every instance makes a dozen
// calls to the store: before it has heard of those that watch the store, and while all servers
// start, since each instance then lacks records of others all the time.
func TestAllInstancesWatchStoreAtStart(t *testing.T) {
	n := simulatedNode(200)
	now := time.Now()
	n.opts.Seeds = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}
	n.begun = now
	if n.ShouldWatchStore(now.Add(discoveryTime / 2)) {
		t.Error("an instance that has just started watches the store, want it to wait for word of others that do")
	}
	for _, peer := range n.members.all {
		peer.StoreResponseAt, peer.nameHash = now.Add(time.Hour), 0
	}
	n.setBehind(true, now)
	for range 5 {
		now = now.Add(maxBehindTime * 2 / 3)
		n.setBehind(true, now)
		n.noteProgress(now)
	}
	if n.ShouldWatchStore(now.Add(maxBehindTime / 2)) {
		t.Error("an instance that peers teach watches the store, want it not to")
	}
	if !n.ShouldWatchStore(now.Add(2 * maxBehindTime)) {
		t.Error("an instance that lacks records and learns none doesn't watch the store, want it to")
	}
	n.opts.Seeds = nil
	n.members.all = nil
	n.begun = now
	if !n.ShouldWatchStore(now) {
		t.Error("the only instance doesn't watch the store at once, want it to")
	}
}
