package balancer

import (
	"testing"
	"time"
)

// TestHealthChangeIsReportedOnceInEachDirection has a server fail, recover,
// become slow and recover again. Each change of its health must be reported
// once, with statistics.
func TestHealthChangeIsReportedOnceInEachDirection(t *testing.T) {
	balancer := newBalancer()
	a := newServer("a")
	now := startTime
	runAttempts := func(count int, result AttemptResult, responseTime time.Duration) {
		for range count {
			now = now.Add(200 * time.Millisecond)
			attempt := chooseAndBegin(t, balancer, promptRequest, now, a)
			balancer.RecordFirstEvent(attempt, now.Add(responseTime))
			balancer.EndAttempt(attempt, result, now.Add(responseTime))
		}
	}
	expectChanges := func(want ...Health) {
		t.Helper()
		var got []Health
		for _, c := range balancer.HealthChanges(now) {
			if c.Key != ServerKey(a) || c.Attempts <= 0 {
				t.Errorf("got change %+v, want Key of server a and Sends above 0", c)
			}
			got = append(got, c.To)
		}
		if len(got) != len(want) || len(want) > 0 && got[0] != want[0] {
			t.Errorf("got changes to %v, want %v", got, want)
		}
	}
	runAttempts(5, Succeeded, 100*time.Millisecond)
	expectChanges()
	runAttempts(5, Failed, 100*time.Millisecond)
	expectChanges(Failing)
	runAttempts(2, Failed, 100*time.Millisecond)
	expectChanges()
	now = now.Add(30 * time.Second)
	runAttempts(10, Succeeded, 100*time.Millisecond)
	expectChanges(Healthy)
	runAttempts(20, Succeeded, 3*time.Second)
	expectChanges(Slow)
	now = now.Add(30 * time.Second)
	runAttempts(10, Succeeded, 100*time.Millisecond)
	expectChanges(Healthy)
}

// TestUnreachableDataCentreIsReported lets a data centre send nothing while a
// response from it is due, and then send a message. Both changes of its health
// must be reported.
func TestUnreachableDataCentreIsReported(t *testing.T) {
	balancer := newBalancer()
	remote := newServer("a")
	remote.DataCentre = "dc1"
	balancer.RecordContact("dc1", startTime)
	chooseAndBegin(t, balancer, promptRequest, startTime, remote)
	if got := balancer.HealthChanges(startTime); len(got) != 0 {
		t.Errorf("before the data centre became silent: got changes %+v, want none", got)
	}
	later := startTime.Add(2 * suspectAfter)
	got := balancer.HealthChanges(later)
	if len(got) != 1 || got[0].DataCentre != "dc1" || got[0].To != Unreachable || got[0].SilentFor != 2*suspectAfter {
		t.Errorf("after the data centre became silent: got changes %+v, want one change of dc1 to Unreachable with SilentFor twice suspectAfter", got)
	}
	balancer.RecordContact("dc1", later)
	if got = balancer.HealthChanges(later); len(got) != 1 || got[0].To != Healthy {
		t.Errorf("after a message from the data centre: got changes %+v, want one change to Healthy", got)
	}
}
