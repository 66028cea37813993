package scheduler

import (
	"context"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// occupyAllSlots submits requests at one instance that take all slots and never
// complete.
func (c *cluster) occupyAllSlots(entry *node) {
	for i := range testServers * testSlots {
		entry.remote.Submit(context.Background(), schedcore.Ticket{
			ID: schedcore.RequestID{1, byte(i)}, Model: testModel, Class: "c",
		})
	}
	time.Sleep(100 * time.Millisecond)
}

// TestSlotsOfACrashedEntryInstanceAreFreed crashes an entry instance whose
// requests occupy all slots. After EntryInstanceTimeout the scheduler must drop
// these requests, so that a request at another instance gets a slot.
func TestSlotsOfACrashedEntryInstanceAreFreed(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(scheduler)]
		c.occupyAllSlots(entry)
		c.crash(entry.endpoint.Local())
		c.startRequest(c.nodes[c.otherInstance(scheduler)], false, serviceTime)
		c.finishAndCheck()
		if got := c.longestWait(); got < time.Second || got > 15*time.Second {
			t.Errorf("longest wait for a grant %v, want 1s to 15s: the slots stay occupied until the crashed instance times out", got)
		}
	})
}

// TestEntryInstanceWithdrawsItsTicketsAtShutdown shuts down an entry instance
// whose requests occupy all slots. The scheduler must free the slots at once and
// not only after EntryInstanceTimeout.
func TestEntryInstanceWithdrawsItsTicketsAtShutdown(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(scheduler)]
		c.occupyAllSlots(entry)
		c.shutDown(entry.endpoint.Local())
		c.startRequest(c.nodes[c.otherInstance(scheduler)], false, serviceTime)
		c.finishAndCheck()
		if got := c.longestWait(); got > 100*time.Millisecond {
			t.Errorf("longest wait for a grant %v, want at most 100ms", got)
		}
	})
}

// TestThawedSchedulerDropsMovedSessions freezes a scheduler until its sessions
// have moved to another scheduler, and thaws it. The thawed scheduler must drop
// the moved sessions soon, before the entry instance calls it again.
func TestThawedSchedulerDropsMovedSessions(t *testing.T) {
	runCluster(t, []int{3}, func(t *testing.T, c *cluster) {
		frozen := c.nodes[c.schedulerAddress(0)]
		entry := c.nodes[c.otherInstance(frozen.endpoint.Local())]
		c.overfill(entry, 5)
		c.network.Freeze(frozen.endpoint.Local())
		time.Sleep(200 * time.Millisecond)
		c.network.Thaw(frozen.endpoint.Local())
		time.Sleep(50 * time.Millisecond)
		h := frozen.remote.hosting
		h.mu.Lock()
		if got := len(h.entryInstances[entry.endpoint.Local()].sessions); got != 0 {
			t.Errorf("the thawed scheduler still hosts %d sessions, want none", got)
		}
		h.mu.Unlock()
		c.finishAndCheck()
	})
}

// TestRequestsCompleteDespiteMessageLoss drops one message in 20 while all
// instances submit requests. Each request must run once and complete.
func TestRequestsCompleteDespiteMessageLoss(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		c.network.SetLoss(0.05)
		c.loadAll(200, 20*time.Millisecond)
		c.network.SetLoss(0)
		c.finishAndCheck()
		t.Logf("longest wait for a grant %v, %d messages resent, %d failovers", c.longestWait(), c.countEvents(Resent), c.countEvents(FailedOver))
		if got := c.longestWait(); got > time.Second {
			t.Errorf("longest wait for a grant %v, want at most 1s", got)
		}
	})
}

// TestDecisionInALostResponseIsResent drops the first response to a ticket. The
// dropped response contains a decision. The entry instance sends the ticket
// again after half of the timeout. The second response must contain the
// decision.
func TestDecisionInALostResponseIsResent(t *testing.T) {
	runCluster(t, []int{3}, func(t *testing.T, c *cluster) {
		scheduler := c.nodes[c.schedulerAddress(0)]
		entry := c.nodes[c.otherInstance(scheduler.endpoint.Local())]
		c.network.CutOneWay(scheduler.endpoint.Local(), entry.endpoint.Local())
		time.AfterFunc(DefaultResponseTimeout/4, c.network.Heal)
		start := time.Now()
		s := entry.remote.Submit(context.Background(), schedcore.Ticket{
			ID: schedcore.RequestID{1}, Model: testModel, Class: "c",
		})
		if v := <-s.Decisions(); v.Kind != Granted {
			t.Errorf("got %+v, want a grant", v)
		}
		if took := time.Since(start); took < DefaultResponseTimeout/2 || took > DefaultResponseTimeout {
			t.Errorf("the decision arrived after %v, want 30ms to 60ms (half of DefaultResponseTimeout to all of it)", took)
		}
		s.Withdraw()
		c.checkNoSessionsLeft()
	})
}
