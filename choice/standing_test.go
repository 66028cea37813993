package choice

import (
	"testing"
	"time"
)

// TestStandingIsToldOnceEachWay has a server fail, recover, turn slow and
// recover again: each is told once, with its evidence.
func TestStandingIsToldOnceEachWay(t *testing.T) {
	table := newTable()
	a := serverOf("a")
	now := begin
	serve := func(times int, result Result, took time.Duration) {
		for range times {
			now = now.Add(200 * time.Millisecond)
			attempt := send(t, table, prompt, now, a)
			table.FirstEvent(attempt, now.Add(took))
			table.End(attempt, result, now.Add(took))
		}
	}
	expect := func(want ...Standing) {
		t.Helper()
		var got []Standing
		for _, c := range table.Standings(now) {
			if c.Key != ServerKey(a) || c.Sends <= 0 {
				t.Errorf("got %+v", c)
			}
			got = append(got, c.Is)
		}
		if len(got) != len(want) || len(want) > 0 && got[0] != want[0] {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	serve(5, Answered, 100*time.Millisecond)
	expect()
	serve(5, Failed, 100*time.Millisecond)
	expect(Failing)
	serve(2, Failed, 100*time.Millisecond)
	expect()
	now = now.Add(30 * time.Second)
	serve(10, Answered, 100*time.Millisecond)
	expect(Trusted)
	serve(20, Answered, 3*time.Second)
	expect(Slow)
	now = now.Add(30 * time.Second)
	serve(10, Answered, 100*time.Millisecond)
	expect(Trusted)
}

// TestDataCentreOutOfReachIsTold has a data centre fall silent while an answer
// from there is due.
func TestDataCentreOutOfReachIsTold(t *testing.T) {
	table := newTable()
	far := serverOf("a")
	far.DataCentre = "dc1"
	table.Heard("dc1", begin)
	send(t, table, prompt, begin, far)
	if got := table.Standings(begin); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
	later := begin.Add(2 * silentFor)
	got := table.Standings(later)
	if len(got) != 1 || got[0].DataCentre != "dc1" || got[0].Is != OutOfReach || got[0].Silent != 2*silentFor {
		t.Errorf("got %+v", got)
	}
	table.Heard("dc1", later)
	if got = table.Standings(later); len(got) != 1 || got[0].Is != Trusted {
		t.Errorf("got %+v", got)
	}
}
