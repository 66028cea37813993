package gossip

import "time"

const (
	// watcherCount is how many instances watch the metadata store. The others fetch
	// changed records from them.
	watcherCount = 2
	// maxWatcherStoreAge is how long an instance counts as a watcher of the store after
	// it got its last response from the store.
	maxWatcherStoreAge = 1300 * time.Millisecond
	// maxBehindTime is how long an instance may lack another instance's records. If it
	// still lacks them after that, it watches the store itself.
	maxBehindTime = 700 * time.Millisecond
)

// ShouldWatchStore reports whether this instance should watch the store. It should if
// fewer than watcherCount instances with a lower name hash get responses from the
// store, or if this instance has lacked another instance's records for more than
// maxBehindTime.
func (n *Node) ShouldWatchStore(now time.Time) bool {
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
