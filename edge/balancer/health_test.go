package balancer

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
	serve := func(times int, result AttemptResult, took time.Duration) {
		for range times {
			now = now.Add(200 * time.Millisecond)
			attempt := send(t, table, prompt, now, a)
			table.RecordFirstEvent(attempt, now.Add(took))
			table.EndAttempt(attempt, result, now.Add(took))
		}
	}
	expect := func(want ...Health) {
		t.Helper()
		var got []Health
		for _, c := range table.HealthChanges(now) {
			if c.Key != ServerKey(a) || c.Sends <= 0 {
				t.Errorf("got %+v", c)
			}
			got = append(got, c.To)
		}
		if len(got) != len(want) || len(want) > 0 && got[0] != want[0] {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	serve(5, Succeeded, 100*time.Millisecond)
	expect()
	serve(5, Failed, 100*time.Millisecond)
	expect(Failing)
	serve(2, Failed, 100*time.Millisecond)
	expect()
	now = now.Add(30 * time.Second)
	serve(10, Succeeded, 100*time.Millisecond)
	expect(Healthy)
	serve(20, Succeeded, 3*time.Second)
	expect(Slow)
	now = now.Add(30 * time.Second)
	serve(10, Succeeded, 100*time.Millisecond)
	expect(Healthy)
}

// TestDataCentreOutOfReachIsTold has a data centre fall silent while an answer
// from there is due.
func TestDataCentreOutOfReachIsTold(t *testing.T) {
	table := newTable()
	far := serverOf("a")
	far.DataCentre = "dc1"
	table.RecordContact("dc1", begin)
	send(t, table, prompt, begin, far)
	if got := table.HealthChanges(begin); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
	later := begin.Add(2 * silentFor)
	got := table.HealthChanges(later)
	if len(got) != 1 || got[0].DataCentre != "dc1" || got[0].To != Unreachable || got[0].SilentFor != 2*silentFor {
		t.Errorf("got %+v", got)
	}
	table.RecordContact("dc1", later)
	if got = table.HealthChanges(later); len(got) != 1 || got[0].To != Healthy {
		t.Errorf("got %+v", got)
	}
}
