package gossip

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
)

// TestServerDeletedBesideKillOfWatchersIsGone guards against a server that gets requests for good
// at the instances that survive, because those that watched the store were killed beside the
// deletion, and the processes that took their place list the servers without it.
func TestServerDeletedBesideKillOfWatchersIsGone(t *testing.T) {
	server := func(id string, revision int64) catalog.Record {
		return catalog.Record{Kind: catalog.KindServer, Name: id, Revision: revision}
	}
	listed := func(n *testNode, version int64, records ...catalog.Record) {
		n.catalog.MergeServerList(records, objects.Version{Revision: version}, time.Now())
		n.catalog.Merge([]catalog.Record{configurationRecord(3)}, time.Now())
	}
	survivor := startNode(t, "survivor", time.Hour)
	listed(survivor, 6, server("gone", 4), server("stays", 5))
	watcher := startNode(t, "watcher", 0, survivor.opts.Address)
	listed(watcher, 8, server("stays", 5))
	startTime := time.Now()
	await(t, "the survivor knows that the server is gone", func() bool {
		available := survivor.catalog.Snapshot().AvailableServers("m", time.Now())
		return len(available) == 1 && available[0].ID == "stays"
	})
	// A server that left must get no requests 2 s later; half of that is for the store.
	if elapsed := time.Since(startTime); elapsed > time.Second {
		t.Errorf("the survivor knew after %v, want at most 1 s", elapsed)
	}
	await(t, "the same records at both", func() bool { return survivor.catalog.Digest() == watcher.catalog.Digest() })
	if n := len(watcher.catalog.Snapshot().Servers); n != 1 {
		t.Errorf("the watcher knows %d servers, want 1: the survivor must not teach the one that is gone", n)
	}
}

// TestPartOfPeersRecordsDeletesNothing guards against servers that are forgotten because a peer's
// records can't all be read, or because the peer doesn't say what they reflect.
func TestPartOfPeersRecordsDeletesNothing(t *testing.T) {
	n := &Node{client: newFetchClient()}
	sound, err := cbor.Marshal(catalog.Record{Kind: catalog.KindServer, Name: "a", Revision: 4})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		items  [][]byte
		header string
		want   objects.Version
	}{
		"all can be read":          {[][]byte{sound}, "2/9", objects.Version{Era: 2, Revision: 9}},
		"one can't be read":        {[][]byte{sound, {0x61, 'x'}}, "2/9", objects.Version{}},
		"from an older build":      {[][]byte{sound}, "", objects.Version{}},
		"from one that lists none": {[][]byte{sound}, "0/0", objects.Version{}},
		"with an odd version":      {[][]byte{sound}, "2/x", objects.Version{}},
	} {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.header != "" {
				w.Header().Set(headerComplete, test.header)
			}
			body := []byte{0x80 | byte(len(test.items))}
			for _, item := range test.items {
				body = append(body, item...)
			}
			_, _ = w.Write(body)
		}))
		taught, err := n.get(peer.URL + pathServers)
		peer.Close()
		if got := fmt.Sprint(taught.Complete, len(taught.Records), err); got != fmt.Sprint(test.want, 1, nil) {
			t.Errorf("%s: got %s, want %s", name, got, fmt.Sprint(test.want, 1, nil))
		}
	}
}
