package scheduler

import (
	"context"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// holdAllSlots has requests of one instance hold all slots until it ends.
func (c *cluster) holdAllSlots(entry *node) {
	for i := range testServers * testSlots {
		entry.remote.Submit(context.Background(), schedcore.Ticket{
			ID: schedcore.RequestID{1, byte(i)}, Model: model, Class: "c",
		})
	}
	time.Sleep(100 * time.Millisecond)
}

func TestDeadEntryGivesItsSlotsBack(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		entry := c.nodes[c.other(scheduler)]
		c.holdAllSlots(entry)
		c.kill(entry.endpoint.Local())
		c.request(c.nodes[c.other(scheduler)], false, serviceTime)
		c.finish()
		if got := c.longestWait(); got < time.Second || got > 15*time.Second {
			t.Errorf("wait %v", got)
		}
	})
}

func TestEndingEntryWithdrawsItsTickets(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		entry := c.nodes[c.other(scheduler)]
		c.holdAllSlots(entry)
		c.end(entry.endpoint.Local())
		c.request(c.nodes[c.other(scheduler)], false, serviceTime)
		c.finish()
		if got := c.longestWait(); got > 100*time.Millisecond {
			t.Errorf("wait %v", got)
		}
	})
}

// TestThawedSchedulerGivesUpWhatMoved looks at a scheduler after its thaw and
// before it is asked again.
func TestThawedSchedulerGivesUpWhatMoved(t *testing.T) {
	run(t, []int{3}, func(t *testing.T, c *cluster) {
		frozen := c.nodes[c.scheduler(0)]
		entry := c.nodes[c.other(frozen.endpoint.Local())]
		c.fill(entry, 5)
		c.network.Freeze(frozen.endpoint.Local())
		time.Sleep(200 * time.Millisecond)
		c.network.Thaw(frozen.endpoint.Local())
		time.Sleep(50 * time.Millisecond)
		h := frozen.remote.host
		h.mu.Lock()
		if got := len(h.entries[entry.endpoint.Local()].sessions); got != 0 {
			t.Errorf("still holds %d sessions", got)
		}
		h.mu.Unlock()
		c.finish()
	})
}

// TestLossOfMessages loses one message in 20 while all instances submit.
func TestLossOfMessages(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		c.network.SetLoss(0.05)
		c.load(200, 20*time.Millisecond)
		c.network.SetLoss(0)
		c.finish()
		t.Logf("longest wait %v, resent %d, passed over %d", c.longestWait(), c.count(Resent), c.count(FailedOver))
		if got := c.longestWait(); got > time.Second {
			t.Errorf("longest wait %v", got)
		}
	})
}

// TestVerdictOfALostAnswerComesAgain loses the first answer to a ticket.
func TestVerdictOfALostAnswerComesAgain(t *testing.T) {
	run(t, []int{3}, func(t *testing.T, c *cluster) {
		scheduler := c.nodes[c.scheduler(0)]
		entry := c.nodes[c.other(scheduler.endpoint.Local())]
		c.network.CutOneWay(scheduler.endpoint.Local(), entry.endpoint.Local())
		time.AfterFunc(DefaultAnswerTimeout/4, c.network.Heal)
		start := time.Now()
		s := entry.remote.Submit(context.Background(), schedcore.Ticket{
			ID: schedcore.RequestID{1}, Model: model, Class: "c",
		})
		if v := <-s.Decisions(); v.Kind != Granted {
			t.Errorf("verdict %+v", v)
		}
		if took := time.Since(start); took < DefaultAnswerTimeout/2 || took > DefaultAnswerTimeout {
			t.Errorf("came after %v", took)
		}
		s.Withdraw()
		c.checkNothingHeld()
	})
}
