package scheduler

import (
	"context"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/decision"
)

// holdAllSlots has requests of one instance hold all slots until it ends.
func (c *cluster) holdAllSlots(entry *node) {
	for i := range testServers * testSlots {
		entry.remote.Submit(context.Background(), decision.Ticket{
			ID: decision.RequestID{1, byte(i)}, Model: model, Class: "c",
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
