package catalog

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

// plainDecoder decodes specs that are the JSON form of the catalog's own types.
type plainDecoder struct{}

func (plainDecoder) Configuration(spec []byte) (Configuration, error) {
	var c Configuration
	return c, json.Unmarshal(spec, &c)
}

func (plainDecoder) Server(id string, spec []byte) (BackendServer, error) {
	var server BackendServer
	if err := json.Unmarshal(spec, &server); err != nil {
		return server, err
	}
	if server.Service == "" {
		return server, errors.New("no service")
	}
	server.ID = id
	return server, nil
}

// serverRecord returns the record of a server, by default of service m.
func serverRecord(id string, revision int64, server BackendServer) Record {
	if server.Service == "" {
		server.Service = "m"
	}
	spec, err := json.Marshal(server)
	if err != nil {
		panic(err)
	}
	return Record{Kind: KindServer, Name: id, Revision: revision, Spec: spec}
}

func deletedServer(id string, revision int64) Record {
	return Record{Kind: KindServer, Name: id, Revision: revision, Deleted: true}
}

func configurationRecord(revision, version int64) Record {
	spec, err := json.Marshal(Configuration{Version: version, Services: []Service{{Name: "m"}}})
	if err != nil {
		panic(err)
	}
	return Record{Kind: KindConfiguration, Name: "main", Revision: revision, Spec: spec}
}

var start = time.Unix(1000, 0)

// availableIDs returns the IDs of the servers of service m that may get requests.
func availableIDs(c *Catalog, now time.Time) []string {
	var ids []string
	for _, server := range c.Snapshot().AvailableServers("m", now) {
		ids = append(ids, server.ID)
	}
	return ids
}

// expectEqual reports an error if the printed form of got differs from want.
func expectEqual(t *testing.T, label string, got any, want string) {
	t.Helper()
	if fmt.Sprint(got) != want {
		t.Errorf("%s: got %v, want %s", label, got, want)
	}
}

// TestConfigurationVersionNeverDecreases merges configurations with a lower revision or
// version, a deletion and a record that can't be decoded. None may replace the
// configuration in force.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.Merge([]Record{configurationRecord(10, 5)}, start)
	catalog.Merge([]Record{configurationRecord(9, 4)}, start)
	catalog.Merge([]Record{configurationRecord(11, 3)}, start)
	catalog.Merge([]Record{{Kind: KindConfiguration, Name: "main", Revision: 12, Deleted: true}}, start)
	catalog.Merge([]Record{{Kind: KindConfiguration, Name: "main", Revision: 13, Spec: []byte("{broken")}}, start)
	expectEqual(t, "version", catalog.Snapshot().Version, "5")
	changes := catalog.Merge([]Record{configurationRecord(14, 7)}, start)
	expectEqual(t, "version", catalog.Snapshot().Version, "7")
	if len(changes) != 1 || changes[0].Type != ChangedInForce || changes[0].Version != 7 {
		t.Errorf("got changes %v, want only that version 7 is in force", changes)
	}
}

// TestUnreadableEntryAffectsNoOther merges records of servers, one of which can't be
// decoded. The other servers must be available.
func TestUnreadableEntryAffectsNoOther(t *testing.T) {
	catalog := New(plainDecoder{})
	changes := catalog.Merge([]Record{
		serverRecord("a", 2, BackendServer{}),
		{Kind: KindServer, Name: "b", Revision: 3, Spec: []byte("\xff")},
		serverRecord("c", 4, BackendServer{}),
	}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[a c]")
	if len(changes) != 3 || changes[1].Type != ChangedUnreadable || changes[1].Err == nil {
		t.Errorf("got changes %v, want three, the second one unreadable with an error", changes)
	}
	catalog.Merge([]Record{{Kind: KindServer, Name: "a", Revision: 5, Spec: []byte("{}")}}, start)
	expectEqual(t, "usable after a became unreadable", availableIDs(catalog, start), "[c]")
}

// TestLeavingServerIsNotAvailable merges the announcement that a server leaves, and then
// an older record of the server.
func TestLeavingServerIsNotAvailable(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{}), serverRecord("b", 3, BackendServer{})}, start)
	catalog.Merge([]Record{serverRecord("a", 4, BackendServer{Leaving: true})}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[b]")
	// A record that is older than the announcement must not make the server available
	// again.
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{})}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[b]")
}

// TestServersWithoutEntryAreALastResort deletes the entries of servers. A server without
// an entry must be available only if its service has no other server, and only for
// MissingEntryGrace.
func TestServersWithoutEntryAreALastResort(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{}), serverRecord("b", 3, BackendServer{})}, start)
	catalog.MergeServerList([]Record{serverRecord("b", 3, BackendServer{})}, objects.Version{Revision: 5}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[b]")
	catalog.MergeServerList(nil, objects.Version{Revision: 6}, start)
	expectEqual(t, "usable with no entry left", availableIDs(catalog, start.Add(MissingEntryGrace/2)), "[a b]")
	expectEqual(t, "usable later", availableIDs(catalog, start.Add(MissingEntryGrace+1)), "[]")
	catalog.Merge([]Record{serverRecord("a", 7, BackendServer{})}, start)
	expectEqual(t, "usable after a was registered again", availableIDs(catalog, start), "[a]")
}

// TestDeletionWithRevisionOfEntry merges a deletion that has the same revision as
// the entry that it removes, and then that entry again. The server must stay deleted.
func TestDeletionWithRevisionOfEntry(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{}), serverRecord("b", 1, BackendServer{})}, start)
	catalog.Merge([]Record{deletedServer("a", 2)}, start)
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{})}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[b]")
}

// TestStaleRecordOfDeletedServerIsIgnored merges records of a server that was missing in
// a complete list. A record that is older than the list must not add the server; a newer
// one must.
func TestStaleRecordOfDeletedServerIsIgnored(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.MergeServerList([]Record{serverRecord("b", 1, BackendServer{})}, objects.Version{Revision: 10}, start)
	catalog.Merge([]Record{serverRecord("a", 5, BackendServer{})}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[b]")
	catalog.Merge([]Record{serverRecord("a", 11, BackendServer{})}, start)
	expectEqual(t, "usable", availableIDs(catalog, start), "[a b]")
}

func TestRestartUnderSameIDIsReported(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{StartedAtMillis: 1})}, start)
	changes := catalog.Merge([]Record{serverRecord("a", 3, BackendServer{StartedAtMillis: 2})}, start)
	if len(changes) != 1 || changes[0].Type != ChangedRestarted {
		t.Errorf("got changes %v, want only a restart", changes)
	}
}

// TestTombstonesExpire checks that the record of a deleted server is kept for
// tombstoneRetention and then dropped, but not before all changes up to the deletion are known:
// until then nothing else says that the server was deleted.
func TestTombstonesExpire(t *testing.T) {
	catalog := New(plainDecoder{})
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{}), deletedServer("a", 3)}, start)
	if n := len(catalog.Servers().Records); n != 1 {
		t.Fatalf("got %d records, want 1, the tombstone of a", n)
	}
	late := start.Add(tombstoneRetention + time.Second)
	catalog.MergeEvents([]Record{serverRecord("b", 1, BackendServer{})}, objects.Version{Revision: 2}, late)
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{})}, late)
	expectEqual(t, "usable with the changes up to 2 known", availableIDs(catalog, late), "[b]")
	catalog.MergeEvents([]Record{serverRecord("b", 4, BackendServer{})}, objects.Version{Revision: 4}, late)
	if n := len(catalog.Servers().Records); n != 1 {
		t.Errorf("got %d records, want 1, the record of b", n)
	}
	catalog.Merge([]Record{serverRecord("a", 2, BackendServer{})}, late)
	expectEqual(t, "usable with the changes up to 4 known", availableIDs(catalog, late), "[b]")
}

// TestMergeOrderDoesNotMatter merges the same records in random orders, each of
// them twice. All catalogs must end up with the same content.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	var records []Record
	for n := range 40 {
		id := fmt.Sprintf("s%d", n%7)
		switch n % 5 {
		case 0:
			records = append(records, deletedServer(id, int64(n+2)))
		case 1:
			records = append(records, configurationRecord(int64(n+2), int64(n)))
		default:
			records = append(records, serverRecord(id, int64(n+2), BackendServer{Leaving: n%3 == 0}))
		}
	}
	var first *Catalog
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		catalog := New(plainDecoder{})
		// Each server is known before its other records are merged.
		for n := range 7 {
			catalog.Merge([]Record{serverRecord(fmt.Sprintf("s%d", n), 1, BackendServer{})}, start)
		}
		for _, i := range random.Perm(2 * len(records)) {
			catalog.Merge([]Record{records[i%len(records)]}, start)
		}
		if first == nil {
			first = catalog
			continue
		}
		if catalog.Digest() != first.Digest() {
			t.Errorf("seed %d: the digests depend on the merge order, want equal digests", seed)
		}
		expectEqual(t, "usable", availableIDs(catalog, start.Add(time.Hour)), fmt.Sprint(availableIDs(first, start.Add(time.Hour))))
	}
}

// TestSimultaneousChangesChangeDigest guards against changes that cancel out in the digest:
// peers compare only digests, and would miss them until the next change.
func TestSimultaneousChangesChangeDigest(t *testing.T) {
	// With a digest of 64 bits, a collision in so many draws is out of question.
	const draws = 1_000_000
	random := rand.New(rand.NewPCG(16, 1))
	for _, changes := range []int{2, 3, 10} {
		collisions := 0
		for range draws / changes {
			var difference uint64
			// The store's revision counter rises by one with each change.
			revision := int64(8 + random.IntN(24))
			for range changes {
				name := fmt.Sprintf("i-%010x", random.Uint64N(1<<40))
				before := Record{Kind: KindServer, Name: name, Revision: 1 + int64(random.IntN(8))}
				after := before
				revision++
				after.Revision = revision
				difference += recordHash(after) - recordHash(before)
			}
			if difference == 0 {
				collisions++
			}
		}
		if collisions > 0 {
			t.Errorf("%d simultaneous changes: %d of %d left the digest as it was, want none", changes, collisions, draws/changes)
		}
	}
}

func TestLongestPathPrefixWins(t *testing.T) {
	s := newSnapshot()
	s.setConfiguration(Configuration{Routes: []Route{
		{Name: "short", Host: "A.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}}, 1)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/", "short"}, {"b.example", "/x/y/1", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/", ""},
	} {
		route, ok := s.Route(test.host, test.path)
		got := ""
		if ok {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("host and path %s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestPickServiceFollowsWeights picks services for 5000 request IDs. The weights of the
// services a, b and c are 90, 10 and 0.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := make(map[string]int)
	for n := range 5000 {
		id := fmt.Sprint("request ", n)
		name, _ := r.PickService(id)
		if again, _ := r.PickService(id); again != name {
			t.Fatalf("request ID %s got service %s, then service %s; want the same service twice", id, name, again)
		}
		counts[name]++
	}
	if counts["c"] > 0 || counts["b"] < 400 || counts["b"] > 600 {
		t.Errorf("got the requests by service %v, want 400 to 600 of 5000 for b and none for c", counts)
	}
	if _, ok := (&Route{}).PickService("x"); ok {
		t.Error("a service was picked for a route without targets, want none")
	}
}
