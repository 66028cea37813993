package balancer

// Servers may name limits of the requests that they take from all instances together. If all
// servers of a service do, there is room for fewer requests than come. More urgent requests
// get that room first, and the others are told to come back when there may be some.

import (
	"math"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// limitedHalfLife is the time in which the count of refused requests loses half of its
	// weight.
	limitedHalfLife = time.Second
	// urgentRefusalPeriod is how long room is left to the requests of an urgency after one of
	// them was refused. Its caller returns within about that time.
	urgentRefusalPeriod = time.Second
	// limitedMemory is how long a service is remembered after a refusal.
	limitedMemory = 10 * time.Second
)

// limitedService describes the requests that were refused because all servers of a service
// name limits.
type limitedService struct {
	// refused counts the refused requests. It decays over time, last at decayedAt.
	refused   float64
	decayedAt time.Time
	// urgent is the urgency of the most urgent one that was refused within
	// urgentRefusalPeriod, the last time at urgentAt.
	urgent   catalog.Urgency
	urgentAt time.Time
}

// AdmitLimited reports whether a request may use the room that limited servers have, although
// no server of its service is without a limit. If not, RefuseLimited must be called.
func (b *Balancer) AdmitLimited(r Request, now time.Time) bool {
	s, ok := b.limitedServices[r.Service.Name]
	return !ok || now.Sub(s.urgentAt) >= urgentRefusalPeriod || !isLessUrgent(r.Urgency, s.urgent)
}

// RefuseLimited records that a request was refused because all servers of its service name
// limits, of perSecond requests a second in all. It returns the Retry-After time.
func (b *Balancer) RefuseLimited(r Request, perSecond float64, now time.Time) time.Duration {
	s, ok := b.limitedServices[r.Service.Name]
	if !ok {
		s = &limitedService{decayedAt: now}
		b.limitedServices[r.Service.Name] = s
	}
	s.refused = s.refused*math.Exp2(-now.Sub(s.decayedAt).Seconds()/limitedHalfLife.Seconds()) + 1
	s.decayedAt = now
	if now.Sub(s.urgentAt) >= urgentRefusalPeriod || !isLessUrgent(r.Urgency, s.urgent) {
		s.urgent, s.urgentAt = r.Urgency, now
	}
	// The other instances presumably refuse as many, and all of them come back.
	backlog := s.refused * float64(max(b.instances, 1))
	wait := maxRetryAfter
	if seconds := backlog / perSecond; seconds < maxRetryAfter.Seconds() {
		wait = max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	}
	if r.TimeLeft > 0 {
		wait = min(wait, time.Duration(maxWaitFraction*(1-retryAfterJitter/2)*float64(r.TimeLeft)))
	}
	return b.jitter(wait)
}

// expireLimitedServices forgets the services that refused no request lately.
func (b *Balancer) expireLimitedServices(now time.Time) {
	for name, s := range b.limitedServices {
		if now.Sub(s.decayedAt) > limitedMemory {
			delete(b.limitedServices, name)
		}
	}
}

// isLessUrgent reports whether u is less urgent than other by one of its two priorities, and
// not more urgent by the second one.
func isLessUrgent(u, other catalog.Urgency) bool {
	return u != other && u.OrganisationPriority >= other.OrganisationPriority && u.RoutePriority >= other.RoutePriority
}
