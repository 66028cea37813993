package gossip

import "time"

const (
	// watcherCount is how many instances watch the metadata store. The others fetch
	// changed records from them.
	watcherCount = 2
	// maxWatcherStoreAge is how long an instance counts as a watcher of the store after
	// it got its last response from the store.
	maxWatcherStoreAge = 1300 * time.Millisecond
	// maxBehindTime is how long an instance may lack another instance's records without
	// learning any from peers. If it still lacks them after that, it watches the store itself.
	maxBehindTime = 700 * time.Millisecond
	// discoveryTime is how long after its start an instance waits for word of others that
	// watch the store. It has listed all records by then. Its first watch must end, and others
	// must hear of that, before that list is older than maxWatcherStoreAge.
	discoveryTime = 250 * time.Millisecond
)

// ShouldWatchStore reports whether this instance should watch the store. It should if
// fewer than watcherCount instances with a lower name hash get responses from the
// store, or if this instance has lacked another instance's records for more than
// maxBehindTime. Directly after the start it should not, unless there are no seeds.
func (n *Node) ShouldWatchStore(now time.Time) bool {
	if len(n.opts.Seeds) > 0 && now.Sub(n.begun) < discoveryTime {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.behindSince.IsZero() && now.Sub(n.behindSince) > maxBehindTime {
		return true
	}
	watchersBefore := 0
	for _, peer := range n.members.all {
		getsResponses := peer.Live && !peer.Leaving && now.Sub(peer.StoreResponseAt) < maxWatcherStoreAge
		if getsResponses && peer.nameHash < n.nameHash {
			watchersBefore++
		}
	}
	return watchersBefore < watcherCount
}

// noteProgress records that a peer taught this instance records that it lacked. It may lack others
// still, as in the second in which all servers start, but need not ask the store for them.
func (n *Node) noteProgress(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.behindSince.IsZero() {
		n.behindSince = now
	}
}

// setBehind records in behindSince whether this instance lacks records that another
// instance has.
func (n *Node) setBehind(behind bool, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !behind:
		n.behindSince = time.Time{}
	case n.behindSince.IsZero():
		n.behindSince = now
	}
}
