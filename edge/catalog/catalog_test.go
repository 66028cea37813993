package catalog

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// plainDecoder reads specs written as the product's own types.
type plainDecoder struct{}

func (plainDecoder) Configuration(spec []byte) (Configuration, error) {
	var c Configuration
	return c, json.Unmarshal(spec, &c)
}

func (plainDecoder) Server(id string, spec []byte) (BackendServer, error) {
	var b BackendServer
	if err := json.Unmarshal(spec, &b); err != nil {
		return b, err
	}
	if b.Service == "" {
		return b, errors.New("no service")
	}
	b.ID = id
	return b, nil
}

func server(id string, revision int64, b BackendServer) Record {
	if b.Service == "" {
		b.Service = "m"
	}
	spec, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return Record{Kind: KindServer, Name: id, Revision: revision, Spec: spec}
}

func gone(id string, revision int64) Record {
	return Record{Kind: KindServer, Name: id, Revision: revision, Deleted: true}
}

func configuration(revision, version int64) Record {
	spec, err := json.Marshal(Configuration{Version: version, Services: []Service{{Name: "m"}}})
	if err != nil {
		panic(err)
	}
	return Record{Kind: KindConfiguration, Name: "main", Revision: revision, Spec: spec}
}

var start = time.Unix(1000, 0)

func usable(t *Catalog, now time.Time) []string {
	var ids []string
	for _, b := range t.Snapshot().AvailableServers("m", now) {
		ids = append(ids, b.ID)
	}
	return ids
}

func expect(t *testing.T, what string, got any, want string) {
	t.Helper()
	if fmt.Sprint(got) != want {
		t.Errorf("%s: got %v, want %s", what, got, want)
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	table := New(plainDecoder{})
	table.Merge([]Record{configuration(10, 5)}, start)
	table.Merge([]Record{configuration(9, 4)}, start)
	table.Merge([]Record{configuration(11, 3)}, start)
	table.Merge([]Record{{Kind: KindConfiguration, Name: "main", Revision: 12, Deleted: true}}, start)
	table.Merge([]Record{{Kind: KindConfiguration, Name: "main", Revision: 13, Spec: []byte("{broken")}}, start)
	expect(t, "version", table.Snapshot().Version, "5")
	changes := table.Merge([]Record{configuration(14, 7)}, start)
	expect(t, "version", table.Snapshot().Version, "7")
	if len(changes) != 1 || changes[0].Type != ChangedInForce || changes[0].Version != 7 {
		t.Errorf("changes: %v", changes)
	}
}

func TestUnreadableEntryHarmsNoOther(t *testing.T) {
	table := New(plainDecoder{})
	changes := table.Merge([]Record{
		server("a", 2, BackendServer{}),
		{Kind: KindServer, Name: "b", Revision: 3, Spec: []byte("\xff")},
		server("c", 4, BackendServer{}),
	}, start)
	expect(t, "usable", usable(table, start), "[a c]")
	if len(changes) != 3 || changes[1].Type != ChangedUnreadable || changes[1].Err == nil {
		t.Errorf("changes: %v", changes)
	}
	table.Merge([]Record{{Kind: KindServer, Name: "a", Revision: 5, Spec: []byte("{}")}}, start)
	expect(t, "usable after a was spoilt", usable(table, start), "[c]")
}

func TestLeavingServerGetsNothing(t *testing.T) {
	table := New(plainDecoder{})
	table.Merge([]Record{server("a", 2, BackendServer{}), server("b", 3, BackendServer{})}, start)
	table.Merge([]Record{server("a", 4, BackendServer{Leaving: true})}, start)
	expect(t, "usable", usable(table, start), "[b]")
	// A late record from before it left changes nothing.
	table.Merge([]Record{server("a", 2, BackendServer{})}, start)
	expect(t, "usable", usable(table, start), "[b]")
}

// TestMissingEntryIsALastResort removes entries: while the service has another
// server, those without an entry get nothing; with none left they do, but not
// for as long as a leaving server may be sent to.
func TestMissingEntryIsALastResort(t *testing.T) {
	table := New(plainDecoder{})
	table.Merge([]Record{server("a", 2, BackendServer{}), server("b", 3, BackendServer{})}, start)
	table.MergeServerList([]Record{server("b", 3, BackendServer{})}, 5, start)
	expect(t, "usable", usable(table, start), "[b]")
	table.MergeServerList(nil, 6, start)
	expect(t, "usable with no entry left", usable(table, start.Add(MissingEntryGrace/2)), "[a b]")
	expect(t, "usable later", usable(table, start.Add(MissingEntryGrace+1)), "[]")
	table.Merge([]Record{server("a", 7, BackendServer{})}, start)
	expect(t, "usable after a came back", usable(table, start), "[a]")
}

// TestDeleteMayCarryTheEntrysRevision merges a delete that has the revision of
// what it removes, in both orders.
func TestDeleteMayCarryTheEntrysRevision(t *testing.T) {
	table := New(plainDecoder{})
	table.Merge([]Record{server("a", 2, BackendServer{}), server("b", 1, BackendServer{})}, start)
	table.Merge([]Record{gone("a", 2)}, start)
	table.Merge([]Record{server("a", 2, BackendServer{})}, start)
	expect(t, "usable", usable(table, start), "[b]")
}

func TestDeletedServerDoesNotComeBackFromAPeer(t *testing.T) {
	table := New(plainDecoder{})
	table.MergeServerList([]Record{server("b", 1, BackendServer{})}, 10, start)
	table.Merge([]Record{server("a", 5, BackendServer{})}, start)
	expect(t, "usable", usable(table, start), "[b]")
	table.Merge([]Record{server("a", 11, BackendServer{})}, start)
	expect(t, "usable", usable(table, start), "[a b]")
}

func TestRestartUnderTheSameIDIsTold(t *testing.T) {
	table := New(plainDecoder{})
	table.Merge([]Record{server("a", 2, BackendServer{StartedAtMillis: 1})}, start)
	changes := table.Merge([]Record{server("a", 3, BackendServer{StartedAtMillis: 2})}, start)
	if len(changes) != 1 || changes[0].Type != ChangedRestarted {
		t.Errorf("changes: %v", changes)
	}
}

func TestTombstonesAreForgotten(t *testing.T) {
	table := New(plainDecoder{})
	table.Merge([]Record{server("a", 2, BackendServer{}), gone("a", 3)}, start)
	if n := len(table.ServerRecords()); n != 1 {
		t.Fatalf("%d records, want the tombstone", n)
	}
	table.Merge([]Record{server("b", 4, BackendServer{})}, start.Add(tombstoneLife+time.Second))
	if n := len(table.ServerRecords()); n != 1 {
		t.Errorf("%d records, want b only", n)
	}
}

// TestTablesAgreeWhateverTheOrder merges the same records in random orders,
// some of them twice.
func TestTablesAgreeWhateverTheOrder(t *testing.T) {
	var records []Record
	for n := range 40 {
		id := fmt.Sprintf("s%d", n%7)
		switch n % 5 {
		case 0:
			records = append(records, gone(id, int64(n+2)))
		case 1:
			records = append(records, configuration(int64(n+2), int64(n)))
		default:
			records = append(records, server(id, int64(n+2), BackendServer{Leaving: n%3 == 0}))
		}
	}
	var first *Catalog
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := New(plainDecoder{})
		// Each server is known before its other records come in any order.
		for n := range 7 {
			table.Merge([]Record{server(fmt.Sprintf("s%d", n), 1, BackendServer{})}, start)
		}
		for _, i := range random.Perm(2 * len(records)) {
			table.Merge([]Record{records[i%len(records)]}, start)
		}
		if first == nil {
			first = table
			continue
		}
		wantRevision, wantServers := first.Digest()
		revision, servers := table.Digest()
		if revision != wantRevision || servers != wantServers {
			t.Errorf("seed %d: digests differ", seed)
		}
		expect(t, "usable", usable(table, start.Add(time.Hour)), fmt.Sprint(usable(first, start.Add(time.Hour))))
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	s := newSnapshot()
	s.setConfiguration(Configuration{Routes: []Route{
		{Name: "short", Host: "A.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}}, 1)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/", "short"}, {"b.example", "/x/y/1", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/", ""},
	} {
		route, ok := s.Route(c.host, c.path)
		got := ""
		if ok {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestTargetFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := make(map[string]int)
	for n := range 5000 {
		id := fmt.Sprint("request ", n)
		name, _ := r.PickService(id)
		if again, _ := r.PickService(id); again != name {
			t.Fatalf("%s went to %s, then to %s", id, name, again)
		}
		counts[name]++
	}
	if counts["c"] > 0 || counts["b"] < 400 || counts["b"] > 600 {
		t.Errorf("got %v", counts)
	}
	if _, ok := (&Route{}).PickService("x"); ok {
		t.Error("a route without targets has one")
	}
}
