package config

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/peer/memnet"
)

// newTestSync returns a Sync without peers of its own.
func newTestSync(network *memnet.Network, address string, store *Store) *Sync {
	return NewSync(store, network.Listen(netip.MustParseAddrPort(address)), "dc", func() []Peer { return nil }, 1)
}

// TestDeletionKnownToKilledWatcherReachesPeers guards against a resource that stays in force for
// good because those that had learnt of its deletion were killed before they passed it on.
func TestDeletionKnownToKilledWatcherReachesPeers(t *testing.T) {
	network := memnet.New(1)
	a, b := newObject(api.KindBackendServer, "a", 5, serverSpec(1)), newObject(api.KindBackendServer, "b", 6, serverSpec(1))
	restarted, survivor := NewStore(), NewStore()
	survivor.ApplyLists(listsAt(8, a, b))
	restarted.ApplyLists(listsAt(12, b))
	restarted.MarkReady()
	peer := Peer{Address: newTestSync(network, "10.0.0.1:1", restarted).Transport.Local()}
	if err := newTestSync(network, "10.0.0.2:1", survivor).PullFrom(t.Context(), peer); err != nil {
		t.Fatal(err)
	}
	if got := sortedNames(survivor.Snapshot().BackendServers); !cmp.Equal(got, []string{"b"}) {
		t.Errorf("backend servers in force: %v, want only b", got)
	}
}

// TestPeerRestartedDuringFetchWithdrawsNothing guards against resources that are deleted at all
// instances because a peer ended between its digest and its records: the process that took its
// place has no records yet, or not all.
func TestPeerRestartedDuringFetchWithdrawsNothing(t *testing.T) {
	var older, newer []api.Object
	for n := range 40 {
		name := fmt.Sprint("s", n)
		older = append(older, newObject(api.KindBackendServer, name, int64(n+1), serverSpec(1)))
		newer = append(newer, newObject(api.KindBackendServer, name, int64(n+51), serverSpec(2)))
	}
	newer = append(newer, newObject(api.KindBackendServer, "joined", 95, serverSpec(2)))
	before, part, whole := NewStore(), NewStore(), NewStore()
	before.ApplyLists(listsAt(100, newer...))
	before.MarkReady()
	for _, obj := range older[:5] {
		part.Apply(api.WatchEvent{Type: api.EventPut, Object: obj})
	}
	whole.ApplyLists(listsAt(110, newer...))
	for name, test := range map[string]struct {
		after     *Store
		want      int
		wantError bool
	}{
		"it has no records yet":       {NewStore(), 40, true},
		"it has some records":         {part, 40, true},
		"it has listed all resources": {whole, 41, false},
	} {
		network := memnet.New(1)
		restarted := network.Listen(netip.MustParseAddrPort("10.0.0.1:1"))
		peer.Handle(restarted, peer.KindConfigDigest, func(context.Context, netip.AddrPort, Empty) (Digest, error) { return before.Digest(), nil })
		peer.Handle(restarted, peer.KindConfigFetch, func(_ context.Context, _ netip.AddrPort, r FetchRequest) (RecordPage, error) {
			return test.after.Page(r), nil
		})
		store := NewStore()
		store.ApplyLists(listsAt(45, older...))
		err := newTestSync(network, "10.0.0.2:1", store).PullFrom(t.Context(), Peer{Address: restarted.Local()})
		if got := len(store.Snapshot().BackendServers); got != test.want || (err != nil) != test.wantError {
			t.Errorf("%s: %d backend servers in force, error %v; want %d, an error: %t", name, got, err, test.want, test.wantError)
		}
		if got := store.CompleteVersion(); test.wantError && got != 45 {
			t.Errorf("%s: complete version %d, want 45 as before", name, got)
		}
	}
}
