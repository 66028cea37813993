package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotpin.example/bergamotpin/api"
)

func object(kind api.Kind, name string, version int64, spec any) api.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return api.Object{Kind: kind, Name: name, Version: version, SpecVersion: version, Spec: raw}
}

func putEvent(name string, version int64, slots int) api.WatchEvent {
	return api.WatchEvent{Type: api.EventPut, Object: object(api.KindBackendServer, name, version, serverSpec(slots))}
}

func deleteEvent(name string, version int64) api.WatchEvent {
	return api.WatchEvent{Type: api.EventDelete, Object: api.Object{Kind: api.KindBackendServer, Name: name, Version: version}}
}

func lists(version int64, items ...api.Object) map[api.Kind]api.List {
	all := make(map[api.Kind]api.List)
	for _, kind := range api.ConfigKinds {
		list := api.List{Version: version}
		for _, obj := range items {
			if obj.Kind == kind {
				list.Items = append(list.Items, obj)
			}
		}
		all[kind] = list
	}
	return all
}

func TestOldWatchChangesNothing(t *testing.T) {
	s := NewStore()
	s.ApplyLists(lists(10))
	for _, event := range []api.WatchEvent{putEvent("a", 11, 1), putEvent("a", 12, 2), deleteEvent("a", 13), putEvent("b", 14, 4), putEvent("b", 15, 5)} {
		s.Apply(event)
	}
	want := s.Snapshot()
	for _, event := range []api.WatchEvent{putEvent("a", 11, 1), putEvent("a", 12, 2), putEvent("b", 14, 4), putEvent("c", 9, 9), deleteEvent("b", 13)} {
		if got := s.Apply(event); got != Unchanged {
			t.Errorf("event of version %d: result %d", event.Object.Version, got)
		}
	}
	if diff := cmp.Diff(want, s.Snapshot()); diff != "" {
		t.Error(diff)
	}
}

func TestStaleListNeitherDeletesNorRevives(t *testing.T) {
	s := NewStore()
	a5 := object(api.KindBackendServer, "a", 5, serverSpec(5))
	s.ApplyLists(lists(6, a5))
	s.Apply(deleteEvent("a", 7))
	s.Apply(putEvent("b", 8, 8))
	s.ApplyLists(lists(6, a5))
	if got := sortedNames(s.Snapshot().BackendServers); !cmp.Equal(got, []string{"b"}) {
		t.Errorf("in force: %v", got)
	}
}

// A history of writes, from which sources take any part in any order.
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

func TestAnyOrderOfMergesGivesTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		inOrder, shuffled := NewStore(), NewStore()
		inOrder.Merge(records)
		highest := make(map[string]int64)
		twice := append(records[:len(records):len(records)], records...)
		for _, rec := range rapid.Permutation(twice).Draw(t, "order") {
			shuffled.Merge([]Record{rec})
			for name, server := range shuffled.Snapshot().BackendServers {
				if server.SpecVersion < highest[name] {
					t.Fatalf("%s fell from version %d to %d", name, highest[name], server.SpecVersion)
				}
				highest[name] = server.SpecVersion
			}
		}
		if diff := cmp.Diff(inOrder.Snapshot(), shuffled.Snapshot()); diff != "" {
			t.Fatal(diff)
		}
		if inOrder.Digest() != shuffled.Digest() {
			t.Fatal("digests differ")
		}
	})
}

func TestTombstonesAreBoundedAndStillCount(t *testing.T) {
	s := NewStore()
	s.ApplyLists(lists(0))
	const count = MaxTombstones + 100
	for i := range count {
		name := fmt.Sprintf("s%d", i)
		s.Apply(putEvent(name, int64(2*i+1), 1))
		s.Apply(deleteEvent(name, int64(2*i+2)))
	}
	if got := len(s.records); got > MaxTombstones {
		t.Errorf("%d records, bound %d", got, MaxTombstones)
	}
	raw, _ := json.Marshal(serverSpec(1))
	s.Merge([]Record{{Key: ResourceKey{api.KindBackendServer, "s0"}, Accepted: 1, Spec: raw}})
	s.ApplyLists(lists(1, putEvent("s0", 1, 1).Object))
	if got := len(s.Snapshot().BackendServers); got != 0 {
		t.Errorf("%d servers came back", got)
	}
}

func TestRepairDeletesWhatAForgottenTombstoneDeleted(t *testing.T) {
	raw, _ := json.Marshal(serverSpec(1))
	rec := Record{Key: ResourceKey{api.KindBackendServer, "a"}, Accepted: 5, Spec: raw}
	s := NewStore()
	s.Merge([]Record{rec})
	bucket := []int{bucketOf(rec.Key)}
	s.MergeBuckets(bucket, nil, 4)
	if len(s.Snapshot().BackendServers) != 1 {
		t.Error("a peer that may not have seen the write deleted it")
	}
	s.MergeBuckets(bucket, nil, 6)
	if len(s.Snapshot().BackendServers) != 0 {
		t.Error("a peer that saw the delete did not delete")
	}
}

func TestRulesOverSeveralResources(t *testing.T) {
	hash := func(c string) string { return fmt.Sprintf("%064s", c) }
	s := NewStore()
	s.ApplyLists(lists(9,
		object(api.KindServiceClass, "a", 1, api.ServiceClassSpec{Floor: 0.9, Default: true}),
		object(api.KindServiceClass, "b", 2, api.ServiceClassSpec{Floor: 0.9, Default: true}),
		object(api.KindOrganisation, "x", 3, api.OrganisationSpec{KeyHashes: []string{hash("1"), hash("2")}}),
		object(api.KindOrganisation, "y", 4, api.OrganisationSpec{KeyHashes: []string{hash("2")}}),
	))
	snap := s.Snapshot()
	a, b := snap.Classes["a"].Spec, snap.Classes["b"].Spec
	if a.Floor != 0.5 || b.Floor != 0.5 || !a.Default || b.Default {
		t.Errorf("classes %+v, %+v", a, b)
	}
	if got := snap.Organisations["x"].Spec.KeyHashes; !cmp.Equal(got, []string{hash("1")}) {
		t.Errorf("keys of x: %v", got)
	}
	if got := len(snap.Organisations["y"].Spec.KeyHashes); got != 0 {
		t.Errorf("y has %d keys", got)
	}
	if got := len(s.Overrides()); got != 5 {
		t.Errorf("%d notes: %v", got, s.Overrides())
	}
}

func TestPagesFitAMessageAndMissNothing(t *testing.T) {
	s := NewStore()
	var items []api.Object
	for i := range 200 {
		spec := serverSpec(1)
		spec.Models = []string{fmt.Sprintf("m%0250d", i), fmt.Sprintf("n%0250d", i)}
		items = append(items, object(api.KindBackendServer, fmt.Sprintf("s%d", i), int64(i+1), spec))
	}
	s.ApplyLists(lists(1000, items...))
	var all []int
	for i := range Buckets {
		all = append(all, i)
	}
	other := NewStore()
	req := FetchRequest{Buckets: all}
	for pages := 0; ; pages++ {
		page := s.Page(req)
		other.Merge(page.Records)
		if !page.More {
			if pages == 0 {
				t.Error("all records fit one page")
			}
			break
		}
		req.After = &page.Records[len(page.Records)-1].Key
	}
	if other.Digest().Sums != s.Digest().Sums {
		t.Error("the pages miss records")
	}
}
