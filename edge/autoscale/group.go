package autoscale

import "time"

const (
	// orderMargin is the time beyond the boot time after which an ordered replica that has no
	// entry counts as missing. Entries are written every second or so and pass through the store.
	orderMargin = 4 * time.Second
	// lowerSettles is the time after which an order to have fewer replicas shows in the entries.
	lowerSettles = 5 * time.Second
	// minLife is how long replicas that were ordered are kept at least.
	minLife = 25 * time.Second
	// highestPeriod is how long the number of a group's replicas is remembered. A replica that
	// crashed may be back within that time, and the platform may count it meanwhile.
	highestPeriod = 10 * time.Second
	// firstRefusal is the time for which a group gets no order after a refusal. It doubles with
	// each further one, up to maxRefusal.
	firstRefusal = time.Second
	maxRefusal   = 8 * time.Second
	// retryDelay is the time before an order is repeated that was not taken, or perhaps not.
	retryDelay = time.Second
)

// groupState is what the planner knows of a group.
type groupState struct {
	// ready counts the replicas that have entries and don't leave. highest is the highest such
	// number of a while, first reached at highestAt, and stableSince is when ready last changed.
	ready       int
	highest     int
	highestAt   time.Time
	stableSince time.Time
	// desired is the number last ordered. The order is under way until settledAt, or until the
	// replicas are there. raises is set if it raised the number.
	desired   int
	settledAt time.Time
	raises    bool
	// raisedAt is when the number was last raised by an order, or grew.
	raisedAt time.Time
	// refusals counts the refusals in a row. There is no order before nextOrder, and none that
	// raises the number before refusedUntil.
	refusals                int
	refusedUntil, nextOrder time.Time
	// uncertain is the number in the last order that raised it and that the platform has perhaps
	// taken. It counts until uncertainUntil.
	uncertain      int
	uncertainUntil time.Time
}

// observe takes in the number of the group's replicas that are ready, and of those that were
// reclaimed since the last observation. known is set if the number was known before.
func (s *groupState) observe(ready, reclaimed int, known bool, now time.Time) {
	if ready != s.ready {
		s.stableSince = now
	}
	if ready > s.ready && known {
		// Another instance may have ordered them.
		s.raisedAt = now
	}
	s.ready = ready
	if ready >= s.highest || now.Sub(s.highestAt) > highestPeriod {
		s.highest, s.highestAt = ready, now
	}
	switch {
	case reclaimed > 0:
		s.settledAt, s.highest, s.highestAt, s.uncertainUntil = time.Time{}, ready, now, time.Time{}
		s.refuse(now)
	case s.settledAt.IsZero():
	case s.raises && ready >= s.desired || !s.raises && ready <= s.desired:
		s.settledAt = time.Time{}
	case !s.underWay(now):
		s.settledAt = time.Time{}
		if s.raises {
			// Replicas that were ordered have not come.
			s.refuse(now)
		}
	}
}

// underWay reports whether the last order may not have had its effect yet.
func (s *groupState) underWay(now time.Time) bool { return now.Before(s.settledAt) }

// expected returns the number of replicas that will be there if nothing else happens.
func (s *groupState) expected(now time.Time) int {
	if s.underWay(now) {
		return s.desired
	}
	return s.ready
}

// refused reports whether no more replicas of the group can be had now.
func (s *groupState) refused(now time.Time) bool { return now.Before(s.refusedUntil) }

// refuse records that no more can be had for a time.
func (s *groupState) refuse(now time.Time) {
	wait := min(firstRefusal<<min(s.refusals, 10), maxRefusal)
	s.refusals++
	s.refusedUntil = now.Add(wait)
}

// record takes in what became of an order.
func (s *groupState) record(o Order, outcome Outcome, bootTime time.Duration, now time.Time) {
	switch outcome {
	case NoneAvailable:
		s.refuse(now)
	case NotTaken:
		s.nextOrder = now.Add(retryDelay)
	case Uncertain:
		s.nextOrder = now.Add(retryDelay)
		if o.Desired > o.Expected {
			s.raisedAt = now
			s.uncertain, s.uncertainUntil = o.Desired, now.Add(bootTime+orderMargin)
		}
	case Accepted:
		s.uncertainUntil = time.Time{}
		s.desired, s.raises = o.Desired, o.Desired > o.Expected
		if s.raises {
			s.refusals = 0
			s.raisedAt = now
			s.settledAt = now.Add(bootTime + orderMargin)
			return
		}
		s.settledAt = now.Add(lowerSettles)
		s.highest, s.highestAt = o.Desired, now
	}
}

// platformCount returns the highest number of replicas of the group that the platform may count:
// those that crashed and may come back, and those that were ordered and boot.
func (s *groupState) platformCount(now time.Time) int {
	return max(s.ready, s.highest, s.expected(now))
}

// mostCounted is platformCount with what an order without an answer asked for. An order to have more
// names at least this number, or it would take back replicas that boot.
func (s *groupState) mostCounted(now time.Time) int {
	if now.Before(s.uncertainUntil) {
		return max(s.platformCount(now), s.uncertain)
	}
	return s.platformCount(now)
}
