package membership

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestTable() *table {
	self := record{Name: "self", Address: address(0, 0), DataCentre: "dc0", Incarnation: first}
	return newTable(self, Options{SuspicionTimeout: time.Second, Retention: time.Minute}, func(Event) {})
}

func TestWordOfADeathIsASuspicion(t *testing.T) {
	tab := newTestTable()
	now := time.Unix(0, 0)
	r := record{Name: "a", Address: address(0, 1), DataCentre: "dc0", Incarnation: first}
	tab.apply(r, now)
	r.Condition = dead
	tab.apply(r, now)
	if got := tab.entries[r.Address].Condition; got != suspected {
		t.Errorf("condition = %d after one's word", got)
	}
	tab.expire(now.Add(time.Second), 0)
	if got := tab.entries[r.Address].Condition; got != dead {
		t.Errorf("condition = %d after the timeout", got)
	}
}

func TestOwnPauseCountsForNobodysSilence(t *testing.T) {
	tab := newTestTable()
	now := time.Unix(0, 0)
	r := record{Name: "a", Address: address(0, 1), DataCentre: "dc0", Condition: suspected}
	tab.apply(r, now)
	tab.expire(now.Add(5*time.Second), 5*time.Second)
	if got := tab.entries[r.Address].Condition; got != suspected {
		t.Errorf("condition = %d", got)
	}
}

// TestOrderOfRecordsDoesNotMatter applies the same records in two orders.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) record {
		return record{
			Address:     address(0, rapid.IntRange(1, 3).Draw(t, "address")),
			DataCentre:  "dc0",
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    rapid.Uint32Range(0, 2).Draw(t, "sequence"),
			Condition:   condition(rapid.IntRange(0, 1).Draw(t, "condition")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(draw, 1, 8).Draw(t, "records")
		a, b := newTestTable(), newTestTable()
		now := time.Unix(0, 0)
		for i := range records {
			a.apply(records[i], now)
			b.apply(records[len(records)-1-i], now)
		}
		for at, e := range a.entries {
			if b.entries[at].record != e.record {
				t.Fatalf("%v: %+v or %+v", at, e.record, b.entries[at].record)
			}
		}
		if a.digest() != b.digest() {
			t.Fatal("digests differ")
		}
	})
}

func TestMessagesOfOthersAreChecked(t *testing.T) {
	run(t, []int{2}, func(t *testing.T, c *cluster) {
		g := c.nodes[address(0, 0)].Group
		forged := record{Address: address(0, 9), DataCentre: "dc0"}
		_, err := g.serveHeartbeat(t.Context(), netip.MustParseAddrPort("10.0.0.1:1"), heartbeat{From: forged})
		if err == nil || g.Counters()[MessageRefused] != 1 {
			t.Errorf("a record of another instance was taken: %v", err)
		}
	})
}
