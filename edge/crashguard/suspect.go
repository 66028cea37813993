package crashguard

import (
	"slices"
	"time"
)

const (
	// withholdThreshold is the number of servers that must have ended under a part before
	// it is first withheld. Two may end together by chance, and the fleet must stop
	// sending the part before a sixth one ends.
	withholdThreshold = 3
	// suspicion is how long evidence counts that does not withhold its part.
	suspicion = 2 * time.Minute
	// convictedMemory is how long a part is at least tried in turn after a withholding.
	convictedMemory = time.Hour
	// maxServers bounds the servers that are kept for a part.
	maxServers = 8
)

// withholdPeriods are the times for which a part is withheld, first and after each further
// failed try; the last one repeats. The first is short, because servers that end together
// by chance convict sound parts too. A try that fails leaves little doubt.
var withholdPeriods = [...]time.Duration{10 * time.Second, 10 * time.Minute, time.Hour}

const (
	// After a withholding, time is divided into slots of tryInterval, and each instance
	// tries the part in one of firstSlotsPerInstance for each instance, maxFirstSlots at
	// most, so that seldom two instances share one. After a later withholding the slots
	// take half of its period.
	firstSlotsPerInstance = 2
	maxFirstSlots         = 12
)

// suspect is a part under which servers ended.
type suspect struct {
	// level counts the times that a server ended under the part after a withholding. A
	// higher level replaces all that was known.
	level int
	// servers holds the keys of the level's servers in ascending order. Of more than
	// maxServers, the lowest are kept, so that all instances keep the same ones.
	servers []uint64
	// newest is when the newest end became known. It moves only when level or servers
	// change.
	newest time.Time
	// own is set if this instance itself saw a server end under the part.
	own bool
	// ownTry is when this instance last let a request through as a try, and lastTry when
	// any instance did so.
	ownTry, lastTry time.Time
}

// convicted reports whether the servers suffice to withhold the part.
func (s *suspect) convicted() bool { return s.level > 0 || len(s.servers) >= withholdThreshold }

// period is how long the part is withheld.
func (s *suspect) period() time.Duration {
	return withholdPeriods[min(s.level, len(withholdPeriods)-1)]
}

// slots is the number of slots after which each instance has its turn again.
func (s *suspect) slots(instances int) uint64 {
	switch {
	case instances <= 1:
		return 1
	case s.level > 0:
		return uint64(s.period() / 2 / tryInterval)
	}
	return uint64(min(instances*firstSlotsPerInstance, maxFirstSlots))
}

// retention is how long the evidence counts. A convicted part keeps it for long: the fleet
// would otherwise let as many servers end as before, each time that its requests pause.
func (s *suspect) retention() time.Duration {
	if !s.convicted() {
		return suspicion
	}
	return s.period() + max(convictedMemory, s.period())
}

// expired reports whether the evidence is too old to count.
func (s *suspect) expired(now time.Time) bool { return now.Sub(s.newest) >= s.retention() }

// isNews reports whether the evidence is young enough to be told and to be taken in. It
// ends well before the evidence expires anywhere: otherwise an instance that has forgotten
// a part would learn it again from one that counts a little later.
func (s *suspect) isNews(now time.Time) bool {
	const margin = 30 * time.Second
	return now.Sub(s.newest) < s.retention()-margin
}

// merge takes in further evidence. It is a union that depends on no order.
func (s *suspect) merge(other *suspect) {
	if other.level < s.level || other.level == s.level && s.holds(other.servers) {
		return
	}
	union := normalise(other.servers)
	if other.level == s.level {
		union = normalise(slices.Concat(s.servers, other.servers))
		if slices.Equal(union, s.servers) {
			return
		}
	}
	s.level, s.servers = other.level, union
	if other.newest.After(s.newest) {
		s.newest = other.newest
	}
}

// holds reports whether the part has all these servers. Nearly all reports are repeated.
func (s *suspect) holds(servers []uint64) bool {
	for _, server := range servers {
		if _, known := slices.BinarySearch(s.servers, server); !known {
			return false
		}
	}
	return true
}

// normalise returns the lowest keys in ascending order, each once.
func normalise(servers []uint64) []uint64 {
	sorted := slices.Compact(slices.Sorted(slices.Values(servers)))
	return sorted[:min(len(sorted), maxServers)]
}

// unexplainedBy returns the number of servers that did not end under another part too.
func (s *suspect) unexplainedBy(other *suspect) int {
	n := 0
	for _, server := range s.servers {
		if _, both := slices.BinarySearch(other.servers, server); !both {
			n++
		}
	}
	return n
}
