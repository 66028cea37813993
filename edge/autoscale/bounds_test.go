package autoscale

import (
	"testing"
	"time"
)

// Guards against orders that leave a data centre with fewer replicas than it must have, while
// dear replicas are given up before cheap ones have come.
func TestLoweredNumbersKeepTheMinimum(t *testing.T) {
	f := newFleet(t, wave(300_000))
	f.service.Autoscale.Min = 44
	f.run(150*time.Second, true)
	if f.raised+f.lowered == 0 {
		t.Error("there was no order")
	}
}

// Guards against orders for a data centre without replicas that name fewer than the minimum.
func TestRaisedNumbersReachTheMinimum(t *testing.T) {
	f := newFleet(t, wave(1_200_000))
	f.service.Autoscale.Min = 20
	f.run(80*time.Second, true)
	f.counts[Group{"b", false}], f.counts[Group{"b", true}] = 0, 0
	f.booting = nil
	// By then the platform counts the lost replicas no more.
	f.run(highestPeriod+2*time.Second, false)
	f.run(60*time.Second, true)
	if f.counts.of("b") < 20 {
		t.Errorf("%d replicas in the data centre that had lost all", f.counts.of("b"))
	}
}
