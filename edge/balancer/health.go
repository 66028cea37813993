package balancer

// The load this answers: someone has to find out afterwards why requests went
// past a server. Costs change with each request, so what is told is only when a
// server or the way to a data centre crosses a line.

import (
	"cmp"
	"slices"
	"time"
)

// Lines at which a server counts as passed over, and as trusted again. Between
// them it stays what it was, so that one answer does not turn it.
const (
	failingFrom  = 0.3
	failingUntil = 0.1
	slowFrom     = 2.5
	slowUntil    = 1.5
)

// Health is how a server or the way to a data centre is held.
type Health uint8

// The standings.
const (
	// Healthy servers are chosen by their load and what they keep.
	Healthy Health = iota
	// Failing servers fail so many requests that others are preferred.
	Failing
	// Slow servers take much longer than their load explains.
	Slow
	// Unreachable is the standing of a data centre that seems to be cut off.
	Unreachable
)

// String returns the standing as it stands in logs and metrics.
func (s Health) String() string {
	switch s {
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

// HealthChange tells that a server or a data centre is held differently.
type HealthChange struct {
	// Key is the server's, or 0 if the change is one of DataCentre.
	Key        uint64
	DataCentre string
	From, To   Health
	// Sends, FailureProbability and Slowness are the evidence on a server, its own and the
	// peers': how many recent sends it rests on, the probability that the next
	// one fails, and how many times longer than expected answers take.
	Sends, FailureProbability, Slowness float64
	// SilentFor is for how long nothing came from the data centre.
	SilentFor time.Duration
}

// HealthChanges returns what changed since the last call, in a fixed order.
func (t *Balancer) HealthChanges(now time.Time) []HealthChange {
	var changes []HealthChange
	for key, s := range t.servers {
		is := s.standingNow(now)
		if is == s.standing {
			continue
		}
		changes = append(changes, HealthChange{
			Key: key, From: s.standing, To: is,
			Sends: s.evidence.sends + s.otherEvidence.sends, FailureProbability: s.failing(now), Slowness: s.slowness(now),
		})
		s.standing = is
	}
	for name, r := range t.reaches {
		is := Healthy
		if t.doubted(name, now) {
			is = Unreachable
		}
		if is == r.standing {
			continue
		}
		changes = append(changes, HealthChange{DataCentre: name, From: r.standing, To: is, SilentFor: now.Sub(r.heard)})
		r.standing = is
	}
	slices.SortFunc(changes, func(a, b HealthChange) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// standingNow is how the server has to be held from now on.
func (s *server) standingNow(now time.Time) Health {
	failing, slowness := s.failing(now), s.slowness(now)
	switch {
	case failing >= failingFrom, s.standing == Failing && failing > failingUntil:
		return Failing
	case slowness >= slowFrom, s.standing == Slow && slowness > slowUntil:
		return Slow
	}
	return Healthy
}
