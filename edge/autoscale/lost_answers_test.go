package autoscale

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against orders that take back booting replicas, or exceed the maximum together with them,
// because half of the answers to orders are lost and the next order names another number.
func TestLostAnswersToOrders(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, during(wave(900_000), 20*time.Second, 60*time.Second, 2.4+float64(seed)/10))
		f.service.Autoscale.Max = 50
		if seed%2 == 0 {
			f.service.Autoscale.ReclaimablePrice = 0.9
		}
		for range 120 {
			f.advance()
			f.planner.Observe(f.observation(), f.now)
			for _, o := range f.planner.Plan(f.heldSince, f.now) {
				// The fleet reports orders that take back what was ordered a short time ago.
				outcome := f.order(o)
				lost := outcome == Accepted && random.IntN(2) == 0
				if lost {
					outcome = Uncertain
				}
				f.planner.Record(o, outcome, f.now)
				f.checkMaximum(o)
				if lost {
					break
				}
			}
			f.now = f.now.Add(time.Second)
		}
	}
}

// checkMaximum checks that the data centre of an order has no more replicas than it may have, with
// those that boot.
func (f *fleet) checkMaximum(o Order) {
	n := f.counts.of(o.DataCentre)
	for _, b := range f.booting {
		if b.group.DataCentre == o.DataCentre {
			n += b.n
		}
	}
	if most := f.service.Autoscale.Max; n > most {
		f.t.Errorf("%+v: %d replicas with those that boot, want at most %d", o, n, most)
	}
}
