package balancer

// Operators need to find out afterwards why a server was avoided. The cost of a
// server differs for each request and does not show this. So a change of health
// is reported if the statistics of a server cross a threshold, or if a data
// centre becomes unreachable or reachable.

import (
	"cmp"
	"slices"
	"time"
)

// A server becomes failing if its failure probability reaches failingThreshold.
// It becomes healthy again if this probability falls to failingClearThreshold.
// Likewise, a server becomes slow if its slowness reaches slowThreshold, and
// healthy again if its slowness falls to slowClearThreshold. Between the two
// thresholds the health stays as it was, so that a single response does not
// change it.
const (
	failingThreshold      = 0.3
	failingClearThreshold = 0.1
	slowThreshold         = 2.5
	slowClearThreshold    = 1.5
)

// Health is the state of a server or of the connection to a data centre.
type Health uint8

// Health states.
const (
	// Healthy servers are chosen by their load and prefix cache.
	Healthy Health = iota
	// Failing servers fail so many requests that other servers are preferred.
	Failing
	// Slow servers take much longer than their load explains.
	Slow
	// Unreachable is the state of a data centre that seems to be cut off.
	Unreachable
)

// String returns the name used in logs and metrics.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "trusted"
	case Failing:
		return "failing"
	case Slow:
		return "slow"
	case Unreachable:
		return "out_of_reach"
	}
	return "invalid"
}

// HealthChange is a change in the health of a server or a data centre.
type HealthChange struct {
	// Key is the ServerKey of the server, or 0 if the change concerns the data
	// centre itself.
	Key        uint64
	DataCentre string
	From, To   Health
	// Attempts, FailureProbability and Slowness are statistics of a server,
	// from the attempts of this instance and its peers. Attempts is the number
	// of recent attempts. FailureProbability is the probability that the next
	// attempt fails. Slowness is the ratio of observed to expected delays.
	Attempts, FailureProbability, Slowness float64
	// SilentFor is the time since the last contact with the data centre. It is
	// zero in a change of a server.
	SilentFor time.Duration
}

// HealthChanges returns the changes of health since its last call, ordered by
// data centre and server key.
func (b *Balancer) HealthChanges(now time.Time) []HealthChange {
	var changes []HealthChange
	for key, s := range b.servers {
		current := s.currentHealth(now)
		if current == s.reportedHealth {
			continue
		}
		changes = append(changes, HealthChange{
			Key: key, From: s.reportedHealth, To: current,
			Attempts: s.localStats.sends + s.peerStats.sends, FailureProbability: s.failureProbability(now), Slowness: s.slowness(now),
		})
		s.reportedHealth = current
	}
	for name, dc := range b.dataCentres {
		current := Healthy
		if b.suspected(name, now) {
			current = Unreachable
		}
		if current == dc.reportedHealth {
			continue
		}
		changes = append(changes, HealthChange{DataCentre: name, From: dc.reportedHealth, To: current, SilentFor: now.Sub(dc.lastContact)})
		dc.reportedHealth = current
	}
	slices.SortFunc(changes, func(a, b HealthChange) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// currentHealth computes the server's health from its statistics and from its
// last reported health.
func (s *server) currentHealth(now time.Time) Health {
	failureProbability, slowness := s.failureProbability(now), s.slowness(now)
	switch {
	case failureProbability >= failingThreshold, s.reportedHealth == Failing && failureProbability > failingClearThreshold:
		return Failing
	case slowness >= slowThreshold, s.reportedHealth == Slow && slowness > slowClearThreshold:
		return Slow
	}
	return Healthy
}
