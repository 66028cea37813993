package membership

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestTable() *memberTable {
	self := record{Name: "self", Address: testAddress(0, 0), DataCentre: "dc0", Incarnation: firstIncarnation}
	return newMemberTable(self, Options{SuspicionTimeout: time.Second, Retention: time.Minute}, func(Event) {})
}

// TestReportedDeathIsOnlyASuspicion reports that a live instance is dead. The
// instance must become a suspect, and be declared dead only after the suspicion
// timeout.
func TestReportedDeathIsOnlyASuspicion(t *testing.T) {
	table := newTestTable()
	now := time.Unix(0, 0)
	r := record{Name: "a", Address: testAddress(0, 1), DataCentre: "dc0", Incarnation: firstIncarnation}
	table.apply(r, now)
	r.Condition = dead
	table.apply(r, now)
	if got := table.entries[r.Address].Condition; got != suspected {
		t.Errorf("condition = %d after one report of the death, want suspected (1)", got)
	}
	table.expire(now.Add(time.Second), 0)
	if got := table.entries[r.Address].Condition; got != dead {
		t.Errorf("condition = %d after the suspicion timeout, want dead (2)", got)
	}
}

// TestLocalPauseExtendsSuspicionDeadlines pauses this process for longer than
// the suspicion timeout: a suspect must not be declared dead because of the
// pause.
func TestLocalPauseExtendsSuspicionDeadlines(t *testing.T) {
	table := newTestTable()
	now := time.Unix(0, 0)
	r := record{Name: "a", Address: testAddress(0, 1), DataCentre: "dc0", Condition: suspected}
	table.apply(r, now)
	table.expire(now.Add(5*time.Second), 5*time.Second)
	if got := table.entries[r.Address].Condition; got != suspected {
		t.Errorf("condition = %d, want still suspected (1): the time of the pause must not count", got)
	}
}

// TestOrderOfRecordsDoesNotMatter applies the same records in opposite orders
// and expects equal tables.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	recordGenerator := rapid.Custom(func(t *rapid.T) record {
		return record{
			Address:     testAddress(0, rapid.IntRange(1, 3).Draw(t, "address")),
			DataCentre:  "dc0",
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    rapid.Uint32Range(0, 2).Draw(t, "sequence"),
			Condition:   condition(rapid.IntRange(0, 1).Draw(t, "condition")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(recordGenerator, 1, 8).Draw(t, "records")
		a, b := newTestTable(), newTestTable()
		now := time.Unix(0, 0)
		for i := range records {
			a.apply(records[i], now)
			b.apply(records[len(records)-1-i], now)
		}
		for at, e := range a.entries {
			if b.entries[at].record != e.record {
				t.Fatalf("%v: the records applied in order gave %+v and in reverse order %+v, want the same", at, e.record, b.entries[at].record)
			}
		}
		if a.digest() != b.digest() {
			t.Fatal("applying the same records in reverse order gave another digest, want equal digests")
		}
	})
}

// TestHeartbeatWithAnotherSendersRecordIsRefused sends a heartbeat that carries
// another instance's record as the sender's. It must be refused, so that no
// instance can speak for another.
func TestHeartbeatWithAnotherSendersRecordIsRefused(t *testing.T) {
	runCluster(t, []int{2}, func(t *testing.T, c *cluster) {
		g := c.nodes[testAddress(0, 0)].Group
		forged := record{Address: testAddress(0, 9), DataCentre: "dc0"}
		_, err := g.serveHeartbeat(t.Context(), netip.MustParseAddrPort("10.0.0.1:1"), heartbeatRequest{From: forged})
		if err == nil || g.Counters()[MessageRefused] != 1 {
			t.Errorf("heartbeat with the record of another instance: error %v, want an error and one counted refusal", err)
		}
	})
}
