package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

// The store's eras in these tests.
var (
	firstEra  = objects.NumberedEra(1)
	secondEra = objects.NumberedEra(2)
	thirdEra  = objects.NumberedEra(3)
)

// pagesReturnTime is how long the pages say that entries may take to be back after the
// store is.
const pagesReturnTime = 2 * time.Second

// in returns the record as of an era.
func in(era objects.Era, r Record) Record {
	r.Era = era
	return r
}

func at(era objects.Era, revision int64) objects.Version {
	return objects.Version{Era: era, Revision: revision}
}

// configurationWithKeys returns the record of a configuration with one organisation.
func configurationWithKeys(era objects.Era, revision, version int64, keys ...string) Record {
	spec, err := json.Marshal(Configuration{Version: version, Organisations: []Organisation{{Name: "o", Keys: keys}}})
	if err != nil {
		panic(err)
	}
	return Record{Kind: KindConfiguration, Name: "main", Revision: revision, Spec: spec, Era: era}
}

// hasKey reports whether a key is valid in the configuration in force.
func hasKey(c *Catalog, key string) bool {
	_, ok := c.Snapshot().Organisation(key)
	return ok
}

// TestConfigurationWrittenAgainAtLowerRevisionIsInForce guards against new versions that
// are passed over until the store's revision has caught up.
func TestConfigurationWrittenAgainAtLowerRevisionIsInForce(t *testing.T) {
	c := New(plainDecoder{})
	c.Merge([]Record{in(firstEra, configurationRecord(100, 5))}, start)
	c.Merge([]Record{in(secondEra, configurationRecord(60, 7))}, start)
	expectEqual(t, "version", c.Snapshot().Version, "7")
}

// TestRevokedKeyStaysRevokedAfterStepBack guards against a copy that brings a revoked key
// back, and against a key that can't be revoked until the revision has caught up.
func TestRevokedKeyStaysRevokedAfterStepBack(t *testing.T) {
	c := New(plainDecoder{})
	c.Merge([]Record{configurationWithKeys(firstEra, 90, 1, "old", "lost", "kept")}, start)
	c.Merge([]Record{configurationWithKeys(firstEra, 100, 2, "lost", "kept")}, start)
	c.Merge([]Record{configurationWithKeys(secondEra, 50, 1, "old", "lost", "kept")}, start)
	if hasKey(c, "old") || !hasKey(c, "lost") || !hasKey(c, "kept") {
		t.Error("the copy replaced the acknowledged version, want it to stay in force")
	}
	c.Merge([]Record{configurationWithKeys(secondEra, 60, 3, "kept")}, start)
	if hasKey(c, "lost") || !hasKey(c, "kept") {
		t.Error("the key revoked after the step back is valid, want it revoked")
	}
}

// TestSameVersionWrittenAgainIsTaken guards against a configuration that stays at a
// revision of the older era, and is compared with the wrong revisions from then on.
func TestSameVersionWrittenAgainIsTaken(t *testing.T) {
	c := New(plainDecoder{})
	c.Merge([]Record{in(firstEra, configurationRecord(100, 7))}, start)
	c.Merge([]Record{in(secondEra, configurationRecord(60, 7))}, start)
	record, _ := c.ConfigurationRecord()
	expectEqual(t, "record", record.Version(), "2/60")
	expectEqual(t, "version", c.Snapshot().Version, "7")
}

// TestLeavingWrittenAgainAtLowerRevisionIsSeen guards against requests to a server whose
// announcement came with a revision below the known one.
func TestLeavingWrittenAgainAtLowerRevisionIsSeen(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 90, BackendServer{})), in(firstEra, serverRecord("b", 91, BackendServer{}))}, at(firstEra, 100), start)
	c.MergeServerList([]Record{in(secondEra, serverRecord("a", 40, BackendServer{})), in(secondEra, serverRecord("b", 41, BackendServer{}))}, at(secondEra, 50), start)
	c.MergeEvents([]Record{in(secondEra, serverRecord("a", 51, BackendServer{Leaving: true}))}, at(secondEra, 51), start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
	c.MergeEvents([]Record{in(secondEra, deletedServer("b", 52)), in(secondEra, serverRecord("c", 53, BackendServer{}))}, at(secondEra, 53), start)
	expectEqual(t, "usable after b was deleted", availableIDs(c, start), "[c]")
}

// TestSameRevisionWithOtherContentIsTaken guards against records of two eras that count
// as the same because their revision was given out twice, also in the digest.
func TestSameRevisionWithOtherContentIsTaken(t *testing.T) {
	c := New(plainDecoder{})
	others := []Record{in(firstEra, serverRecord("b", 59, BackendServer{}))}
	c.Merge(append(others, in(firstEra, serverRecord("a", 60, BackendServer{}))), start)
	before := fmt.Sprint(c.Digest())
	c.Merge([]Record{in(secondEra, serverRecord("a", 60, BackendServer{Leaving: true}))}, start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
	if after := fmt.Sprint(c.Digest()); after == before {
		t.Error("the digest is as before, want another one")
	}
}

// TestTableIsNotEmptiedByListThatIsNotWhole guards against requests without any server
// while the servers write their entries again.
func TestTableIsNotEmptiedByListThatIsNotWhole(t *testing.T) {
	c := New(plainDecoder{})
	var records []Record
	for n := range int64(4) {
		records = append(records, in(firstEra, serverRecord(fmt.Sprint("s", n), 90+n, BackendServer{})))
	}
	c.MergeServerList(records, at(firstEra, 100), start)
	c.MergeServerList(nil, at(secondEra, 50), start)
	almost := start.Add(pagesReturnTime - time.Millisecond)
	c.Merge(nil, almost)
	expectEqual(t, "usable before they are back", availableIDs(c, almost), "[s0 s1 s2 s3]")
	c.MergeEvents([]Record{in(secondEra, serverRecord("s1", 51, BackendServer{})), in(secondEra, serverRecord("s2", 52, BackendServer{}))}, at(secondEra, 52), almost)
	expectEqual(t, "usable while some are back", availableIDs(c, almost), "[s0 s1 s2 s3]")
	late := start.Add(pagesReturnTime + time.Millisecond)
	c.Merge(nil, late)
	expectEqual(t, "usable after the time", availableIDs(c, late), "[s1 s2]")
}

// TestServerDeletedWhileStoreWasAwayIsGone guards against a server that is kept for good
// because its known revision is above that of the store's list.
func TestServerDeletedWhileStoreWasAwayIsGone(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 90, BackendServer{}))}, at(firstEra, 100), start)
	c.MergeServerList(nil, at(secondEra, 50), start)
	late := start.Add(pagesReturnTime + time.Millisecond)
	c.Merge(nil, late)
	end := late.Add(MissingEntryGrace + time.Millisecond)
	c.Merge(nil, end)
	expectEqual(t, "usable", availableIDs(c, end), "[]")
	// The deletion has to reach peers that still use the server.
	peer := New(plainDecoder{})
	peer.Merge([]Record{in(firstEra, serverRecord("a", 90, BackendServer{})), in(firstEra, serverRecord("b", 91, BackendServer{}))}, start)
	peer.Merge(c.Servers().Records, late)
	expectEqual(t, "usable at the peer", availableIDs(peer, late), "[b]")
}

// TestLeavingServerOfOlderEraGetsNothingNew guards against a copy in which a server that
// announced its leaving is ready again.
func TestLeavingServerOfOlderEraGetsNothingNew(t *testing.T) {
	c := New(plainDecoder{})
	ready := func(era objects.Era, id string, revision, born int64) Record {
		return in(era, serverRecord(id, revision, BackendServer{StartedAtMillis: born}))
	}
	leaving := in(firstEra, serverRecord("a", 95, BackendServer{StartedAtMillis: 1, Leaving: true}))
	c.MergeServerList([]Record{leaving, ready(firstEra, "b", 80, 1)}, at(firstEra, 100), start)
	c.MergeServerList([]Record{ready(secondEra, "a", 40, 1), ready(secondEra, "b", 41, 1)}, at(secondEra, 50), start)
	expectEqual(t, "usable in the copy", availableIDs(c, start), "[b]")
	// A peer that began after the step back learns it, in any order.
	for _, order := range []string{"copy first", "copy last"} {
		peer := New(plainDecoder{})
		if order == "copy first" {
			peer.MergeServerList([]Record{ready(secondEra, "a", 40, 1), ready(secondEra, "b", 41, 1)}, at(secondEra, 50), start)
		}
		peer.Merge(c.Servers().Records, start)
		if order == "copy last" {
			peer.MergeServerList([]Record{ready(secondEra, "a", 40, 1), ready(secondEra, "b", 41, 1)}, at(secondEra, 50), start)
		}
		expectEqual(t, "usable at a peer, "+order, availableIDs(peer, start), "[b]")
		expectEqual(t, "digest at a peer, "+order, fmt.Sprint(peer.Digest()), fmt.Sprint(c.Digest()))
	}
	// The copy comes back once more.
	c.MergeServerList([]Record{ready(thirdEra, "a", 40, 1), ready(thirdEra, "b", 41, 1)}, at(thirdEra, 42), start)
	expectEqual(t, "usable after two steps", availableIDs(c, start), "[b]")
	c.MergeEvents([]Record{ready(thirdEra, "a", 43, 2)}, at(thirdEra, 43), start)
	expectEqual(t, "usable after a restart", availableIDs(c, start), "[a b]")
}

// TestDeletedServerOfOlderEraGetsNothingNew guards against a copy that brings back the
// entry of a server that is gone. If the entry stays, the server is alive.
func TestDeletedServerOfOlderEraGetsNothingNew(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 80, BackendServer{})), in(firstEra, serverRecord("b", 81, BackendServer{}))}, at(firstEra, 90), start)
	c.MergeEvents([]Record{in(firstEra, deletedServer("a", 95))}, at(firstEra, 95), start)
	copied := []Record{in(secondEra, serverRecord("a", 40, BackendServer{})), in(secondEra, serverRecord("b", 41, BackendServer{}))}
	c.MergeServerList(copied, at(secondEra, 50), start)
	expectEqual(t, "usable in the copy", availableIDs(c, start), "[b]")
	copied = []Record{in(thirdEra, serverRecord("a", 40, BackendServer{})), in(thirdEra, serverRecord("b", 41, BackendServer{}))}
	c.MergeServerList(copied, at(thirdEra, 45), start)
	expectEqual(t, "usable in the copy's second return", availableIDs(c, start), "[b]")
	later := start.Add(time.Minute)
	c.Merge(nil, later)
	expectEqual(t, "usable a minute later", availableIDs(c, later), "[a b]")
}

// TestOlderEraIsNotTaught guards against a peer that is behind and teaches what it knows
// of the older era to one that knows better.
func TestOlderEraIsNotTaught(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(secondEra, serverRecord("a", 51, BackendServer{Leaving: true})), in(secondEra, serverRecord("b", 52, BackendServer{}))}, at(secondEra, 60), start)
	c.Merge([]Record{in(firstEra, serverRecord("a", 100, BackendServer{})), in(firstEra, serverRecord("c", 101, BackendServer{}))}, start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
}

// TestTwoStepsBackInARow guards against a second copy that comes before all was written
// again after the first one.
func TestTwoStepsBackInARow(t *testing.T) {
	c := New(plainDecoder{})
	c.Merge([]Record{in(firstEra, configurationRecord(99, 9))}, start)
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 90, BackendServer{})), in(firstEra, serverRecord("b", 91, BackendServer{}))}, at(firstEra, 100), start)
	c.MergeServerList([]Record{in(secondEra, serverRecord("a", 51, BackendServer{}))}, at(secondEra, 55), start)
	c.Merge([]Record{in(secondEra, configurationRecord(54, 8))}, start)
	soon := start.Add(pagesReturnTime / 2)
	c.MergeServerList(nil, at(thirdEra, 20), soon)
	c.Merge([]Record{in(thirdEra, configurationRecord(20, 7))}, soon)
	expectEqual(t, "version", c.Snapshot().Version, "9")
	expectEqual(t, "usable after both", availableIDs(c, soon), "[a b]")
	c.MergeEvents([]Record{in(thirdEra, serverRecord("a", 21, BackendServer{})), in(thirdEra, serverRecord("c", 22, BackendServer{}))}, at(thirdEra, 22), soon)
	late := soon.Add(pagesReturnTime + time.Millisecond)
	c.Merge(nil, late)
	expectEqual(t, "usable later", availableIDs(c, late), "[a c]")
	c.Merge([]Record{in(thirdEra, configurationRecord(23, 10))}, late)
	expectEqual(t, "version written after both", c.Snapshot().Version, "10")
}

// TestRecordWithoutEraMeansKnownEra guards against an instance of the version before whose
// changes are passed over by a new one during a rolling change.
func TestRecordWithoutEraMeansKnownEra(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(secondEra, serverRecord("a", 51, BackendServer{})), in(secondEra, serverRecord("b", 52, BackendServer{}))}, at(secondEra, 60), start)
	c.Merge([]Record{in(secondEra, configurationRecord(50, 1))}, start)
	c.Merge([]Record{serverRecord("a", 61, BackendServer{Leaving: true}), configurationRecord(62, 2), serverRecord("b", 40, BackendServer{Leaving: true})}, start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
	expectEqual(t, "version", c.Snapshot().Version, "2")
	record, _ := c.ConfigurationRecord()
	expectEqual(t, "record", record.Version(), "2/62")
}

// TestFirstEraStatedIsAStep guards against records from before the platform stated eras
// that count as newer than those with one.
func TestFirstEraStatedIsAStep(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{serverRecord("a", 90, BackendServer{}), serverRecord("b", 91, BackendServer{})}, objects.Version{Revision: 100}, start)
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 40, BackendServer{Leaving: true}))}, at(firstEra, 50), start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
	// b's record must not look as if it had no era, which would mean the peer's.
	for _, r := range c.Servers().Records {
		if r.Name == "b" && r.Era != objects.EraBeforeFirst {
			t.Errorf("got era %d for the record from before the first era, want %d", r.Era, objects.EraBeforeFirst)
		}
	}
}

// TestEntryDeletedBeforeListIsNotTaught guards against a peer that has not seen a deletion
// in the new era, and teaches the entry to an instance that has a list without it.
func TestEntryDeletedBeforeListIsNotTaught(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 90, BackendServer{})), in(firstEra, serverRecord("b", 91, BackendServer{}))}, at(firstEra, 100), start)
	c.MergeServerList([]Record{in(secondEra, serverRecord("b", 41, BackendServer{}))}, at(secondEra, 51), start)
	c.Merge([]Record{in(secondEra, serverRecord("a", 40, BackendServer{}))}, start)
	late := start.Add(pagesReturnTime + time.Millisecond)
	c.Merge(nil, late)
	expectEqual(t, "usable", availableIDs(c, late), "[b]")
}

// TestOlderStartOfServerIsNotUsed guards against a copy that brings back the entry that a
// server had before it started again under its ID.
func TestOlderStartOfServerIsNotUsed(t *testing.T) {
	c := New(plainDecoder{})
	entry := func(era objects.Era, id string, revision, born int64) Record {
		return in(era, serverRecord(id, revision, BackendServer{StartedAtMillis: born}))
	}
	c.MergeServerList([]Record{entry(firstEra, "a", 90, 2), entry(firstEra, "b", 41, 1)}, at(firstEra, 100), start)
	copied := []Record{entry(secondEra, "a", 40, 1), entry(secondEra, "b", 41, 1)}
	c.MergeServerList(copied, at(secondEra, 50), start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
	peer := New(plainDecoder{})
	peer.MergeServerList(copied, at(secondEra, 50), start)
	peer.Merge(c.Servers().Records, start)
	expectEqual(t, "usable at a peer", availableIDs(peer, start), "[b]")
	c.MergeEvents([]Record{entry(secondEra, "a", 51, 2)}, at(secondEra, 51), start)
	expectEqual(t, "usable after a wrote again", availableIDs(c, start), "[a b]")
}

// TestDeletionHoldsAgainstPeerWithCopy guards against a peer that began after the step back
// and teaches the copy's entry of a server that is known to be gone.
func TestDeletionHoldsAgainstPeerWithCopy(t *testing.T) {
	c := New(plainDecoder{})
	c.MergeServerList([]Record{in(firstEra, serverRecord("a", 80, BackendServer{})), in(firstEra, serverRecord("b", 81, BackendServer{}))}, at(firstEra, 90), start)
	c.MergeEvents([]Record{in(firstEra, deletedServer("a", 95))}, at(firstEra, 95), start)
	peer := New(plainDecoder{})
	peer.MergeServerList([]Record{in(secondEra, serverRecord("a", 40, BackendServer{})), in(secondEra, serverRecord("b", 41, BackendServer{}))}, at(secondEra, 50), start)
	c.Merge(peer.Servers().Records, start)
	expectEqual(t, "usable", availableIDs(c, start), "[b]")
	// A later entry was written after the step back.
	peer.MergeEvents([]Record{in(secondEra, serverRecord("a", 51, BackendServer{}))}, at(secondEra, 51), start)
	c.Merge(peer.Servers().Records, start)
	expectEqual(t, "usable after a wrote again", availableIDs(c, start), "[a b]")
}

// TestDepartureIsNotTaughtAgainstLaterEntry guards against a peer that hides the copy's entry
// of a server, and teaches that to an instance that has seen it write again.
func TestDepartureIsNotTaughtAgainstLaterEntry(t *testing.T) {
	peer := New(plainDecoder{})
	peer.MergeServerList([]Record{in(firstEra, serverRecord("a", 80, BackendServer{})), in(firstEra, serverRecord("b", 81, BackendServer{}))}, at(firstEra, 90), start)
	peer.MergeEvents([]Record{in(firstEra, deletedServer("a", 95))}, at(firstEra, 95), start)
	copied := []Record{in(secondEra, serverRecord("a", 40, BackendServer{})), in(secondEra, serverRecord("b", 41, BackendServer{}))}
	peer.MergeServerList(copied, at(secondEra, 50), start)
	c := New(plainDecoder{})
	c.MergeServerList(copied, at(secondEra, 50), start)
	c.MergeEvents([]Record{in(secondEra, serverRecord("a", 51, BackendServer{}))}, at(secondEra, 51), start)
	c.Merge(peer.Servers().Records, start)
	expectEqual(t, "usable", availableIDs(c, start), "[a b]")
}
