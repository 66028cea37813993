package gossip

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchers is how many instances follow the store. The others hear from
	// them.
	watchers = 2
	// freshFor is how long ago the store must have answered a watcher for it to
	// count as one.
	freshFor = 1300 * time.Millisecond
	// behindFor is for how long an instance may lack what another one has before
	// it asks the store itself.
	behindFor = 700 * time.Millisecond
)

// ShouldWatchStore reports whether this instance is one of those that follow the store:
// if too few that come before it hear from the store, or if what they have does
// not arrive here.
func (b *Node) ShouldWatchStore(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.behindSince.IsZero() && now.Sub(b.behindSince) > behindFor {
		return true
	}
	own := xxhash.Sum64String(b.opts.Name)
	before := 0
	for _, e := range b.members.all {
		fresh := e.Live && !e.Leaving && now.Sub(e.StoreAt) < freshFor
		if fresh && cmp.Compare(xxhash.Sum64String(e.Name), own) < 0 {
			before++
		}
	}
	return before < watchers
}

// noteBehind keeps since when this instance lacks what others have.
func (b *Node) noteBehind(behind bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !behind:
		b.behindSince = time.Time{}
	case b.behindSince.IsZero():
		b.behindSince = now
	}
}
