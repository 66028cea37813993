package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotpin.example/bergamotpin/api"
)

func newObject(kind api.Kind, name string, version int64, spec any) api.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return api.Object{Kind: kind, Name: name, Version: version, SpecVersion: version, Spec: raw}
}

func putEvent(name string, version int64, slots int) api.WatchEvent {
	return api.WatchEvent{Type: api.EventPut, Object: newObject(api.KindBackendServer, name, version, serverSpec(slots))}
}

func deleteEvent(name string, version int64) api.WatchEvent {
	return api.WatchEvent{Type: api.EventDelete, Object: api.Object{Kind: api.KindBackendServer, Name: name, Version: version}}
}

// listsAt returns the lists of all kinds at one version, with the given objects.
func listsAt(version int64, items ...api.Object) map[api.Kind]api.List {
	byKind := make(map[api.Kind]api.List)
	for _, kind := range api.ConfigKinds {
		list := api.List{Version: version}
		for _, obj := range items {
			if obj.Kind == kind {
				list.Items = append(list.Items, obj)
			}
		}
		byKind[kind] = list
	}
	return byKind
}

// A watch that starts again from an old version repeats events. The repeated events
// must not bring back older specs or deleted resources.
func TestReplayedWatchEventsChangeNothing(t *testing.T) {
	s := NewStore()
	s.ApplyLists(listsAt(10))
	for _, event := range []api.WatchEvent{putEvent("a", 11, 1), putEvent("a", 12, 2), deleteEvent("a", 13), putEvent("b", 14, 4), putEvent("b", 15, 5)} {
		s.Apply(event)
	}
	want := s.Snapshot()
	for _, event := range []api.WatchEvent{putEvent("a", 11, 1), putEvent("a", 12, 2), putEvent("b", 14, 4), putEvent("c", 9, 9), deleteEvent("b", 13)} {
		if got := s.Apply(event); got != ApplyUnchanged {
			t.Errorf("event of version %d: result %d, want Unchanged", event.Object.Version, got)
		}
	}
	if diff := cmp.Diff(want, s.Snapshot()); diff != "" {
		t.Error(diff)
	}
}

// A list from before a write and a delete must undo neither of them.
func TestStaleListNeitherDeletesNorRestores(t *testing.T) {
	s := NewStore()
	a5 := newObject(api.KindBackendServer, "a", 5, serverSpec(5))
	s.ApplyLists(listsAt(6, a5))
	s.Apply(deleteEvent("a", 7))
	s.Apply(putEvent("b", 8, 8))
	s.ApplyLists(listsAt(6, a5))
	if got := sortedNames(s.Snapshot().BackendServers); !cmp.Equal(got, []string{"b"}) {
		t.Errorf("backend servers in force: %v, want only b", got)
	}
}

// drawRecords returns the records of a random history of valid writes, invalid
// writes and deletes on three backend servers, with rising versions.
func drawRecords(t *rapid.T) []Record {
	names := []string{"a", "b", "c"}
	n := rapid.IntRange(1, 12).Draw(t, "writes")
	records := make([]Record, n)
	for i := range records {
		key := ResourceKey{api.KindBackendServer, rapid.SampledFrom(names).Draw(t, "name")}
		version := int64(i + 1)
		switch rapid.IntRange(0, 2).Draw(t, "write") {
		case 0:
			raw, _ := json.Marshal(serverSpec(i + 1))
			records[i] = Record{Key: key, Accepted: version, Spec: raw}
		case 1:
			records[i] = Record{Key: key, Rejected: version, Problem: "wrong"}
		default:
			records[i] = Record{Key: key, Deleted: version}
		}
	}
	return records
}

// Records of peers arrive in any order and more than once. All stores must end up
// with the same configuration.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		inOrder, shuffled := NewStore(), NewStore()
		inOrder.Merge(records)
		highest := make(map[string]int64)
		duplicated := append(records[:len(records):len(records)], records...)
		for _, rec := range rapid.Permutation(duplicated).Draw(t, "order") {
			shuffled.Merge([]Record{rec})
			for name, server := range shuffled.Snapshot().BackendServers {
				if server.SpecVersion < highest[name] {
					t.Fatalf("%s went from spec version %d to %d, want only rising versions", name, highest[name], server.SpecVersion)
				}
				highest[name] = server.SpecVersion
			}
		}
		if diff := cmp.Diff(inOrder.Snapshot(), shuffled.Snapshot()); diff != "" {
			t.Fatal(diff)
		}
		if inOrder.Digest() != shuffled.Digest() {
			t.Fatal("the digests differ after the same records were merged in another order, want equal digests")
		}
	})
}

// A store drops old tombstones to bound its memory. An old record or list must not
// bring back a resource whose tombstone was dropped.
func TestDroppedTombstonesStayEffective(t *testing.T) {
	s := NewStore()
	s.ApplyLists(listsAt(0))
	const count = MaxTombstones + 100
	for i := range count {
		name := fmt.Sprintf("s%d", i)
		s.Apply(putEvent(name, int64(2*i+1), 1))
		s.Apply(deleteEvent(name, int64(2*i+2)))
	}
	if got := len(s.records); got > MaxTombstones {
		t.Errorf("%d records in the store, want at most %d", got, MaxTombstones)
	}
	raw, _ := json.Marshal(serverSpec(1))
	s.Merge([]Record{{Key: ResourceKey{api.KindBackendServer, "s0"}, Accepted: 1, Spec: raw}})
	s.ApplyLists(listsAt(1, putEvent("s0", 1, 1).Object))
	if got := len(s.Snapshot().BackendServers); got != 0 {
		t.Errorf("%d deleted servers reappeared, want none", got)
	}
}

// A peer does not have a resource that the local store has. The store must delete
// the resource only if the peer reflects all writes up to the resource's version.
func TestMergeBucketsDeletesMissingResources(t *testing.T) {
	raw, _ := json.Marshal(serverSpec(1))
	rec := Record{Key: ResourceKey{api.KindBackendServer, "a"}, Accepted: 5, Spec: raw}
	s := NewStore()
	s.Merge([]Record{rec})
	bucket := []int{bucketOf(rec.Key)}
	s.MergeBuckets(bucket, nil, 4)
	if len(s.Snapshot().BackendServers) != 1 {
		t.Error("the resource at version 5 was deleted, want it kept: the peer reflects writes only up to version 4")
	}
	s.MergeBuckets(bucket, nil, 6)
	if len(s.Snapshot().BackendServers) != 0 {
		t.Error("the resource at version 5 was kept, want it deleted: the peer reflects writes up to version 6 and does not have it")
	}
}

// Floors with a sum above 1 are scaled. Only one class is the default. A key that
// two organisations list identifies neither of them.
func TestRulesAcrossResources(t *testing.T) {
	hash := func(c string) string { return fmt.Sprintf("%064s", c) }
	s := NewStore()
	s.ApplyLists(listsAt(9,
		newObject(api.KindServiceClass, "a", 1, api.ServiceClassSpec{Floor: 0.9, Default: true}),
		newObject(api.KindServiceClass, "b", 2, api.ServiceClassSpec{Floor: 0.9, Default: true}),
		newObject(api.KindOrganisation, "x", 3, api.OrganisationSpec{KeyHashes: []string{hash("1"), hash("2")}}),
		newObject(api.KindOrganisation, "y", 4, api.OrganisationSpec{KeyHashes: []string{hash("2")}}),
	))
	snap := s.Snapshot()
	a, b := snap.Classes["a"].Spec, snap.Classes["b"].Spec
	if a.Floor != 0.5 || b.Floor != 0.5 || !a.Default || b.Default {
		t.Errorf("class a %+v, class b %+v, want floor 0.5 in both and only a as the default", a, b)
	}
	if got := snap.Organisations["x"].Spec.KeyHashes; !cmp.Equal(got, []string{hash("1")}) {
		t.Errorf("key hashes of organisation x: %v, want only the hash that organisation y does not list", got)
	}
	if got := len(snap.Organisations["y"].Spec.KeyHashes); got != 0 {
		t.Errorf("organisation y has %d key hashes, want none", got)
	}
	if got := len(s.Overrides()); got != 5 {
		t.Errorf("%d overrides, want 5: %v", got, s.Overrides())
	}
}

// Records that do not fit on one page are spread over several pages. No record may
// be lost between two pages.
func TestPagesHoldAllRecords(t *testing.T) {
	s := NewStore()
	var items []api.Object
	for i := range 200 {
		spec := serverSpec(1)
		spec.Models = []string{fmt.Sprintf("m%0250d", i), fmt.Sprintf("n%0250d", i)}
		items = append(items, newObject(api.KindBackendServer, fmt.Sprintf("s%d", i), int64(i+1), spec))
	}
	s.ApplyLists(listsAt(1000, items...))
	var allBuckets []int
	for i := range Buckets {
		allBuckets = append(allBuckets, i)
	}
	copied := NewStore()
	req := FetchRequest{Buckets: allBuckets}
	for pages := 0; ; pages++ {
		page := s.Page(req)
		copied.Merge(page.Records)
		if !page.More {
			if pages == 0 {
				t.Error("all records fit on one page, want several pages: the test needs more records")
			}
			break
		}
		req.After = &page.Records[len(page.Records)-1].Key
	}
	if copied.Digest().Sums != s.Digest().Sums {
		t.Error("a store filled from the pages differs from the store that returned the pages, want equal stores")
	}
}
