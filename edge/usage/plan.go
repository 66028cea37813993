package usage

// This file answers a load of a few reports a minute for the whole deployment, of 24 to 40
// organisations each, while instances come, go and are cut off.

import (
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/platform"
)

// timing says when a report is made. All times are relative to the end of its window.
type timing struct {
	// patience is how long a report waits for the sums of a few instances, whose requests are
	// less than the tolerance, and longPatience how long it waits for those of more.
	patience, longPatience time.Duration
	// tolerance is the share of the instances whose sums may lack.
	tolerance float64
	// due is when the platform must have the report.
	due time.Duration
	// giveUp is when a report that could not be made or sent is given up.
	giveUp time.Duration
	// settle is how long a new holder waits, so that sums can reach it.
	settle time.Duration
	// hurry is when a new holder doesn't wait any more.
	hurry time.Duration
}

const (
	// patienceShare is the share of the time in which a report is due that it waits for sums.
	// A successor still has time to take over and report in the rest.
	patienceShare = 0.4
	// longPatienceShare is the same for sums without which the report is wrong. A successor
	// may be late then, but a report without them is of no use.
	longPatienceShare = 0.75
	// toleranceShare is the share of the permitted error that may come from instances whose
	// sums lack. The rest is for requests near the ends of a window, and for organisations whose
	// requests are spread unevenly.
	toleranceShare = 0.5
	// hurryShare is the same for the wait of a new holder.
	hurryShare = 0.8
	// giveUpFactor says after how many times the due time a report is given up. A late one is
	// still better for the platform's books than none.
	giveUpFactor = 6
	// settleTime is two intervals of sums, with what the holder's token needs to get around.
	settleTime = 1200 * time.Millisecond
)

// newTiming returns the timing of reports that are due at the given time, and whose counts may be
// off by the given fraction.
func newTiming(due time.Duration, permitted float64) timing {
	return timing{
		longPatience: time.Duration(longPatienceShare * float64(due)), tolerance: toleranceShare * permitted,
		patience: time.Duration(patienceShare * float64(due)), due: due, giveUp: giveUpFactor * due,
		settle: settleTime, hurry: time.Duration(hurryShare * float64(due)),
	}
}

// ready reports whether a window's counts should be taken now. age is the time since the end of
// the window, and held the time for which this instance has been the holder.
func (t timing) ready(age, held time.Duration, missingShare float64) bool {
	switch {
	case age <= 0:
		return false
	case held < t.settle && age < t.hurry:
		return false
	case missingShare <= t.tolerance:
		return missingShare == 0 || age >= t.patience
	default:
		return age >= t.longPatience
	}
}

// firstWindow returns the first window that is worth a report, given the first one without a
// plan. Without any plan, that is the first one that is not due yet.
func (t timing) firstWindow(next int64, length, unix time.Duration) int64 {
	if next == 0 {
		return int64((unix - t.due) / length)
	}
	return max(next, int64((unix-t.giveUp)/length))
}

// prune drops the plans that were sent, or that are too old to be.
func (t timing) prune(plans []platform.UsagePlan, length, unix time.Duration) []platform.UsagePlan {
	oldest := int64((unix - t.giveUp) / length)
	return slices.DeleteFunc(plans, func(p platform.UsagePlan) bool { return p.Sent || p.Window < oldest })
}

// nextToSend returns the position of the plan to send next, or -1. Reports that are in time go
// first, the oldest before the others, then late ones.
func (t timing) nextToSend(plans []platform.UsagePlan, length, unix time.Duration) int {
	best := -1
	for n, plan := range plans {
		if plan.Sent {
			continue
		}
		if best < 0 {
			best = n
			continue
		}
		late := func(w int64) bool { return unix-time.Duration(w+1)*length > t.due }
		a, b := plans[best].Window, plan.Window
		if late(a) != late(b) && late(a) || late(a) == late(b) && b < a {
			best = n
		}
	}
	return best
}
