package gossip

import (
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// TestSenderIsReadWhileFetchIsRecorded guards against a copy of a member that is taken without the
// lock, while the end of a fetch changes the member. Only the race detector sees it.
func TestSenderIsReadWhileFetchIsRecorded(t *testing.T) {
	n := startNode(t, "a", time.Hour)
	from := freeAddress(t)
	digest := n.catalog.Digest()
	var both sync.WaitGroup
	both.Go(func() {
		for k := range 200 {
			n.handleMessage(message{Name: "b", DataCentre: "dc", Address: from, Started: 1, Sequence: uint64(k + 1), stated: newStated(digest)}, time.Now())
		}
	})
	both.Go(func() {
		for range 200 {
			n.recordEmptyFetch(member{Address: from}, catalog.Digest{})
		}
	})
	both.Wait()
}
