package scheduler

import (
	"testing"
	"time"
)

// TestNoFailoverWithoutFaults checks that no session moves and no scheduler is
// skipped while all instances and connections work.
func TestNoFailoverWithoutFaults(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		c.loadAll(40, 20*time.Millisecond)
		c.finishAndCheck()
		if got := c.longestWait(); got > 200*time.Millisecond {
			t.Errorf("longest wait for a grant %v, want at most 200ms", got)
		}
		for _, e := range []Event{FailedOver, Superseded, Resubmitted, Standalone} {
			if got := c.countEvents(e); got != 0 {
				t.Errorf("event %v counted %d times without a fault, want 0", e, got)
			}
		}
	})
}
