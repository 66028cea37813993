package scheduler

import (
	"testing"
	"time"
)

func TestRemoteBringsTicketsToOneQueue(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		c.load(40, 20*time.Millisecond)
		c.finish()
		if got := c.longestWait(); got > 200*time.Millisecond {
			t.Errorf("longest wait %v", got)
		}
		for _, e := range []Event{FailedOver, Superseded, Resubmitted, Standalone} {
			if got := c.count(e); got != 0 {
				t.Errorf("%v = %d without a fault", e, got)
			}
		}
	})
}
