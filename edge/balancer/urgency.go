package balancer

// Requests of different urgency share the same engines and have different latency
// targets. A queue in which an urgent request with a short target would be late is still
// short enough for a less urgent one with a long target. If each request were admitted
// by its own target alone, then under overload the urgent requests would be refused and
// the less urgent ones would take their place. So two rules apply across urgencies:
//
//   - A request is not refused at an expected delay at which a less urgent one was
//     admitted a short time ago.
//   - While urgent requests are late, less urgent ones are admitted only to queues in
//     which the urgent ones would be on time.
//
// Each instance sees only few of the urgent requests. So the instances report to each
// other how many they had, how many of these were late, and to which delays they
// admitted requests.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// urgencyHalfLife is the time in which the counts of requests lose half of their
	// weight. It is short, because a queue of a second is gone a second after less
	// urgent requests are held back.
	urgencyHalfLife = time.Second
	// Less urgent requests are held back while the share of late ones among the recent
	// urgent requests exceeds lateShareLimit. lateSharePrior requests are added to the
	// urgent ones, so that a single late request has no effect.
	lateShareLimit = 1.0 / 12
	lateSharePrior = 20
	// heldBackDelayFraction and heldBackBacklogFraction are fractions of the latency
	// target of the urgent requests that are late. A request that is held back is
	// refused if its expected delay exceeds the first and the prefill of the prompts
	// queued ahead of it takes at least the second. The first is below
	// refusalDelayFraction, so that urgent requests find room where less urgent ones
	// do not.
	heldBackDelayFraction   = 0.7
	heldBackBacklogFraction = 0.4
	// admittedDelayPeriod is how long an admission counts, at least, for the rule that
	// more urgent requests are not refused at the same delay. It counts at most twice
	// as long.
	admittedDelayPeriod = time.Second
	// maxUrgencyReports bounds the urgencies that an instance reports. The services
	// of one configuration have few.
	maxUrgencyReports = 16
	// minReportedRequests is a decayed number of requests. An urgency with fewer
	// recent requests is not reported.
	minReportedRequests = 0.02
)

// urgencyKey identifies the requests of one urgency.
type urgencyKey struct {
	// service is a hash of the service's name with 32 bits.
	service uint64
	urgency catalog.Urgency
}

func urgencyKeyOf(r Request) urgencyKey {
	return urgencyKey{service: serviceHash(r.Service.Name), urgency: r.Urgency}
}

// urgencyStats describes this instance's recent requests of one urgency. Short prompts
// count too: they are never refused because of load, but may be late because of it.
type urgencyStats struct {
	// decayedAt is when decay was last called.
	decayedAt time.Time
	// requests counts the requests, late those that were expected to miss their
	// target because of the prompts queued ahead of them.
	requests, late float64
	// target is the latency target of the last request.
	target time.Duration
	// longestDelay is the longest expected delay to which a request was admitted
	// since periodStart, longestBefore that of the period before.
	longestDelay, longestBefore time.Duration
	periodStart                 time.Time
}

func (s *urgencyStats) decay(now time.Time) {
	if age := now.Sub(s.decayedAt); age > 0 {
		weight := math.Exp2(-age.Seconds() / urgencyHalfLife.Seconds())
		s.requests *= weight
		s.late *= weight
		s.decayedAt = now
	}
	if age := now.Sub(s.periodStart); age >= admittedDelayPeriod {
		s.longestBefore = s.longestDelay
		if age >= 2*admittedDelayPeriod {
			s.longestBefore = 0
		}
		s.longestDelay, s.periodStart = 0, now
	}
}

// UrgencyReport is what an instance reports to its peers about its recent requests of
// one urgency.
type UrgencyReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is a hash of the service's name.
	Service uint64
	// OrganisationPriority and RoutePriority are the fields of catalog.Urgency.
	OrganisationPriority, RoutePriority int
	// Requests and Late count requests, in hundredths. Both decay over time.
	Requests, Late uint32
	// Target is the latency target and LongestDelay the longest expected delay to
	// which a request was admitted a short time ago, both in milliseconds.
	Target, LongestDelay uint32
}

// InstanceReports are all the reports of an instance for its peers.
type InstanceReports struct {
	Servers   []ServerReport
	Urgencies []UrgencyReport
	Prefill   []PrefillReport
}

// UrgencyReports returns this instance's reports for its peers, the urgencies with the
// most requests first.
func (b *Balancer) UrgencyReports(now time.Time) []UrgencyReport {
	var reports []UrgencyReport
	for key, s := range b.urgencies {
		s.decay(now)
		if s.requests < minReportedRequests {
			delete(b.urgencies, key)
			continue
		}
		reports = append(reports, s.report(key))
	}
	slices.SortFunc(reports, func(a, b UrgencyReport) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Service, b.Service), a.urgency().Compare(b.urgency()))
	})
	return reports[:min(len(reports), maxUrgencyReports)]
}

func (s *urgencyStats) report(key urgencyKey) UrgencyReport {
	return UrgencyReport{
		Service: key.service, OrganisationPriority: key.urgency.OrganisationPriority, RoutePriority: key.urgency.RoutePriority,
		Requests: toHundredths(s.requests), Late: toHundredths(s.late),
		Target: toMillis(s.target), LongestDelay: toMillis(max(s.longestDelay, s.longestBefore)),
	}
}

func (r UrgencyReport) urgency() catalog.Urgency {
	return catalog.Urgency{OrganisationPriority: r.OrganisationPriority, RoutePriority: r.RoutePriority}
}

func toMillis(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32)) }

// ReceiveUrgencyReports stores the reports of a peer. They replace the previous ones,
// and count for as long as the peer's reports on servers. ReceiveReports must be called
// before.
func (b *Balancer) ReceiveUrgencyReports(peer string, reports []UrgencyReport) {
	if known, ok := b.peers[peer]; ok {
		known.urgencies = reports
	}
}

// urgencyStatsOf returns the stats of the request's urgency, decayed to now.
func (b *Balancer) urgencyStatsOf(r Request, now time.Time) *urgencyStats {
	key := urgencyKeyOf(r)
	s, ok := b.urgencies[key]
	if !ok {
		s = &urgencyStats{decayedAt: now, periodStart: now}
		b.urgencies[key] = s
	}
	s.decay(now)
	return s
}

// recordUrgency records a request whose limits were checked. late is set if it is
// expected to miss its latency target because of the prompts queued ahead of it.
func (b *Balancer) recordUrgency(r Request, late bool, now time.Time) {
	stats := b.urgencyStatsOf(r, now)
	stats.requests++
	stats.target = r.LatencyTarget
	if late {
		stats.late++
	}
}

// recordAdmittedDelay records the expected delay of a request that was admitted.
func (b *Balancer) recordAdmittedDelay(r Request, delay time.Duration, now time.Time) {
	stats := b.urgencyStatsOf(r, now)
	stats.longestDelay = max(stats.longestDelay, delay)
}

// urgencyTotals sums the recent requests of one urgency over the instances.
type urgencyTotals struct {
	requests, late float64
	// target is the shortest of the reported latency targets, longestDelay the longest
	// delay to which a request was admitted.
	target, longestDelay time.Duration
}

// totalsByUrgency returns the totals of the service with the given hash.
func (b *Balancer) totalsByUrgency(service uint64, now time.Time) map[catalog.Urgency]urgencyTotals {
	totals := make(map[catalog.Urgency]urgencyTotals)
	add := func(report UrgencyReport) {
		if report.Service != service || report.Target == 0 {
			return
		}
		sum := totals[report.urgency()]
		target := time.Duration(report.Target) * time.Millisecond
		if sum.target == 0 || target < sum.target {
			sum.target = target
		}
		sum.requests += fromHundredths(report.Requests)
		sum.late += fromHundredths(report.Late)
		sum.longestDelay = max(sum.longestDelay, time.Duration(report.LongestDelay)*time.Millisecond)
		totals[report.urgency()] = sum
	}
	for key, s := range b.urgencies {
		s.decay(now)
		add(s.report(key))
	}
	for _, peer := range b.peers {
		for _, report := range peer.urgencies {
			add(report)
		}
	}
	return totals
}

// areLate reports whether so many of the requests are late that less urgent ones are
// held back.
func (t urgencyTotals) areLate() bool { return t.late > lateShareLimit*(t.requests+lateSharePrior) }

// urgencyRules are the rules that apply to one request because of requests of other
// urgencies.
type urgencyRules struct {
	// admittedDelay is the longest expected delay to which a less urgent request was
	// admitted a short time ago, or 0.
	admittedDelay time.Duration
	// heldBackFor is the shortest latency target of the more urgent requests that are
	// late, or 0 if none are.
	heldBackFor time.Duration
}

// urgencyRulesFor returns the rules for a request. Of two requests, one may have the more
// urgent organisation and the other the more urgent route. Then neither is held back
// for the other, and neither is refused at a delay to which the other was admitted.
func (b *Balancer) urgencyRulesFor(r Request, now time.Time) urgencyRules {
	var rules urgencyRules
	for urgency, totals := range b.totalsByUrgency(urgencyKeyOf(r).service, now) {
		lessUrgentOrganisation := urgency.OrganisationPriority > r.Urgency.OrganisationPriority
		lessUrgentRoute := urgency.RoutePriority > r.Urgency.RoutePriority
		switch {
		case lessUrgentOrganisation || lessUrgentRoute:
			rules.admittedDelay = max(rules.admittedDelay, totals.longestDelay)
		case urgency != r.Urgency && totals.areLate() && (rules.heldBackFor == 0 || totals.target < rules.heldBackFor):
			rules.heldBackFor = totals.target
		}
	}
	return rules
}
