package serverlimit

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// at returns a time some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// limited is a limit of some requests a second.
func limited(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

// newLone returns the table of an instance that is alone.
func newLone() *Table {
	t := New(Options{Name: "a", View: func() View { return View{Live: []string{"a"}, Complete: true} }})
	t.Reports(at(-10_000))
	return t
}

// response is what a response stated, with when its request was sent and when it came.
type response struct {
	sent, received int
	stated         Limit
}

// TestOvertakenResponseDoesNotEndLimit guards against a limit that seems to have ended, or to
// have been raised, since responses arrived in another order than they were given.
func TestOvertakenResponseDoesNotEndLimit(t *testing.T) {
	cases := []struct {
		name      string
		responses []response
		want      Limit
	}{
		{"never named", []response{{0, 5, Limit{}}}, Limit{}},
		{"named", []response{{0, 5, limited(2)}}, limited(2)},
		{"ended", []response{{0, 5, limited(2)}, {6, 9, Limit{}}}, Limit{}},
		{"given before the limit began", []response{{3, 5, limited(2)}, {0, 9, Limit{}}}, limited(2)},
		{"given at the same time", []response{{0, 5, limited(2)}, {5, 9, Limit{}}}, limited(2)},
		{"raised", []response{{0, 5, limited(2)}, {6, 9, limited(3)}}, limited(3)},
		{"raised or lowered", []response{{0, 5, limited(2)}, {4, 9, limited(3)}}, limited(2)},
		{"lowered", []response{{0, 5, limited(2)}, {4, 9, limited(1)}}, limited(1)},
		{"lowered to nothing", []response{{0, 5, limited(2)}, {4, 9, limited(0)}}, limited(0)},
		{"ended before another response that names it is read", []response{{0, 5, limited(2)}, {6, 9, Limit{}}, {2, 10, limited(2)}, {11, 12, Limit{}}}, Limit{}},
		{"confirmed since", []response{{0, 5, limited(2)}, {6, 9, limited(2)}, {8, 12, Limit{}}}, limited(2)},
	}
	for _, c := range cases {
		table := newLone()
		for _, r := range c.responses {
			table.Record(1, r.stated, at(r.sent), at(r.received))
		}
		var got Limit
		for _, change := range table.Changes(at(20)) {
			got = change.To
		}
		if got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestEndedLimitIsForgotten checks that the table keeps nothing of servers without a limit,
// or that are gone.
func TestEndedLimitIsForgotten(t *testing.T) {
	table := newLone()
	table.Record(1, limited(2), at(0), at(5))
	table.Record(1, Limit{}, at(6), at(9))
	table.Record(2, limited(2), at(0), at(5))
	table.Record(3, limited(2), at(0), at(5))
	table.Retain(func(key uint64) bool { return key != 3 })
	table.Changes(at(9).Add(endedMemory))
	if got := table.Count(); got != 1 || len(table.servers) != 1 {
		t.Errorf("got %d servers with a limit and %d in the table, want only the one with a limit", got, len(table.servers))
	}
}
