package autoscale

// The load that this file answers: a change of the fleet itself. Instances have to learn of each
// change, prompts in the caches of replicas that go have to be read again, and replicas that come
// have empty ones. So orders are few, and small while requests run.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxBooting is the part of the fleet that may be ordered within a boot time while callers
	// wait, and maxChange the part by which an order for any other reason changes the fleet while
	// requests run. All instances have to learn of each change, and a new cache is empty.
	maxBooting = 0.15
	maxChange  = 0.05
	// minSaving is the part of the cost by which orders that save must lower it.
	minSaving = 0.05
	// savingPeriod is the time over which a saving is weighed against the prompts that have to
	// be read again.
	savingPeriod = 60 * time.Second
	// stableBefore is how long the replicas must have been the same before an order that saves.
	stableBefore = 3 * time.Second
	// cacheMemory is how long the prompts that a replica read are worth something.
	cacheMemory = 30 * time.Second
	// rereadTime is the time within which the fleet reads again what leaving replicas held.
	rereadTime = 10 * time.Second
)

// Plan returns the orders to send now. Record must be called with the outcome of each order. The
// instance has held the duty since heldSince: what its predecessor ordered may not show yet.
func (p *Planner) Plan(heldSince, now time.Time) []Order {
	options := p.last.Service.Autoscale
	if options == nil || !p.trusts(now) || p.found == 0 {
		return nil
	}
	dataCentres, expected := p.dataCentres(), p.expected(now)
	m := mixer{options: options, dataCentres: dataCentres, speed: p.speed, present: expected, refused: make(map[Group]bool)}
	for g, s := range p.groups {
		m.refused[g] = s.refused(now)
	}
	r := p.required(now)
	hard := requirement{now: p.needs.current(options.BootTime), urgent: r.urgent}
	lacks := !expected.bears(hard, p.speed, dataCentres)
	if !lacks {
		p.lackingSince = time.Time{}
	} else if p.lackingSince.IsZero() {
		p.lackingSince = now
	}
	if lacks && now.Sub(p.lackingSince) >= options.BootTime {
		return p.raise(m.raised(hard), ReasonCapacity, now)
	}
	m.reclaimableOnly = options.ReclaimablePrice > 0
	if soon := (requirement{now: max(r.now, hard.now)}); !expected.bears(soon, p.speed, dataCentres) {
		return p.raise(m.raised(soon), ReasonCapacity, now)
	}
	if !p.idle() && now.Sub(heldSince) < options.BootTime+orderMargin {
		return nil
	}
	all := m
	all.reclaimableOnly = false
	if orders := p.save(all, expected, now); len(orders) > 0 {
		return orders
	}
	if !expected.bears(r, p.speed, dataCentres) {
		return p.raise(m.raised(r), ReasonReserve, now)
	}
	return nil
}

// save returns the orders that lower the cost, if there are any worth making.
func (p *Planner) save(m mixer, expected counts, now time.Time) []Order {
	if !p.calm(now) {
		return nil
	}
	r := p.requiredToLower(now)
	target := m.cheapest(r)
	if target.cost(m.options) > (1-minSaving)*expected.cost(m.options) {
		return nil
	}
	orders := p.lower(target, r, now)
	if len(orders) > 0 && !p.idle() {
		return orders
	}
	return append(p.raise(target, ReasonSavings, now), orders...)
}

// calm reports whether orders that save may be made.
func (p *Planner) calm(now time.Time) bool {
	if p.needs.late || !p.last.View.complete() {
		return false
	}
	for _, s := range p.groups {
		if s.ready < s.highest || s.refused(now) {
			return false
		}
		if s.underWay(now) && !p.idle() {
			return false
		}
	}
	return p.idle() || p.stableFor(now) >= stableBefore
}

// raise returns the orders that raise the numbers of the groups that have fewer than in the
// target.
func (p *Planner) raise(target counts, reason Reason, now time.Time) []Order {
	var orders []Order
	options := p.last.Service.Autoscale
	room := make(map[string]int)
	for g := range target {
		room[g.DataCentre] = options.Max - p.platformCountOf(g.DataCentre, now)
	}
	budget := p.bootBudget(target, reason, now)
	for _, g := range sortedGroups(target) {
		s := p.group(g)
		expected := s.expected(now)
		more := int(math.Ceil(budget * float64(target[g]-expected)))
		if more > 0 {
			// A data centre that lost its replicas gets the least number at once.
			more = max(more, options.Min-options.Max+room[g.DataCentre])
		}
		counted := s.mostCounted(now)
		desired := min(max(s.platformCount(now)+more, counted), counted+room[g.DataCentre])
		if more <= 0 || desired <= s.platformCount(now) || now.Before(s.nextOrder) || s.refused(now) {
			continue
		}
		room[g.DataCentre] -= desired - counted
		orders = append(orders, Order{Group: g, Desired: desired, Ready: s.ready, Expected: expected, Reason: reason})
	}
	return orders
}

// stableFor returns how long the replicas have been the same.
func (p *Planner) stableFor(now time.Time) time.Duration {
	last := p.trustedSince
	for _, s := range p.groups {
		if s.stableSince.After(last) {
			last = s.stableSince
		}
	}
	return now.Sub(last)
}

// bootBudget returns the part of the missing replicas that may be ordered now.
func (p *Planner) bootBudget(target counts, reason Reason, now time.Time) float64 {
	if p.idle() {
		return 1
	}
	most := maxChange
	if reason == ReasonCapacity {
		most = maxBooting
	}
	missing, booting := 0, 0
	for g, n := range target {
		expected := p.group(g).expected(now)
		missing += max(n-expected, 0)
		booting += max(expected-p.group(g).ready, 0)
	}
	left := most*float64(p.ready().total()) - float64(booting)
	return min(max(left/float64(max(missing, 1)), 0), 1)
}

// platformCountOf returns the highest number of replicas of both kinds in a data centre that the
// platform may count.
func (p *Planner) platformCountOf(dataCentre string, now time.Time) int {
	n := 0
	for g, s := range p.groups {
		if g.DataCentre == dataCentre {
			n += s.mostCounted(now)
		}
	}
	return n
}

// lower returns the orders that lower the numbers of the groups that have more than in the
// target, as far as the rest bears the requirement. While nobody calls, only what is left after
// reclaims counts: replicas that were ordered boot meanwhile.
func (p *Planner) lower(target counts, r requirement, now time.Time) []Order {
	var orders []Order
	if p.idle() {
		r = requirement{afterReclaims: r.afterReclaims, urgent: r.urgent}
	}
	dataCentres := p.dataCentres()
	left, removed := p.ready(), 0
	most := p.mostToRemove()
	for _, g := range p.byPrice(left) {
		s := p.groups[g]
		// Replicas that replace these have perhaps not come, or can't be had.
		spare := left.of(g.DataCentre) - p.last.Service.Autoscale.Min
		for fewer := min(p.mostToLower(s, target[g], now), most-removed, spare); fewer > 0; fewer-- {
			reread := p.rereadNeed(removed + fewer)
			with := r
			with.now, with.afterLoss, with.afterReclaims = r.now+reread, r.afterLoss+reread, r.afterReclaims+reread
			left[g] -= fewer
			if left.bears(with, p.speed, dataCentres) && p.worthwhile(g) {
				removed += fewer
				orders = append(orders, Order{Group: g, Desired: s.ready - fewer, Ready: s.ready, Expected: s.ready, Reason: ReasonSavings})
				break
			}
			left[g] += fewer
		}
	}
	return orders
}

// mostToLower returns by how many replicas a group may be lowered now, at most to a number.
func (p *Planner) mostToLower(s *groupState, to int, now time.Time) int {
	fewer := s.ready - to
	if fewer <= 0 || s.underWay(now) || now.Before(s.nextOrder) || now.Sub(s.raisedAt) < minLife {
		return 0
	}
	return fewer
}

// mostToRemove returns how many replicas may be given up now.
func (p *Planner) mostToRemove() int {
	total := p.ready().total()
	if p.idle() {
		return total
	}
	return int(math.Ceil(maxChange * float64(total)))
}

// cachedTokens returns how many prompt tokens a replica presumably holds in its cache.
func (p *Planner) cachedTokens() float64 {
	tokens := p.needs.tokensRead / float64(max(p.ready().total(), 1))
	if capacity := float64(p.last.Service.MemoryTokens); capacity > 0 {
		tokens = min(tokens, capacity)
	}
	return tokens
}

// rereadNeed returns the replicas that are needed to read again what n leaving replicas hold.
func (p *Planner) rereadNeed(n int) float64 {
	return float64(n) * p.cachedTokens() / (prefillTokensPerSecond * rereadTime.Seconds())
}

// worthwhile reports whether a replica of a group costs more than to read again what it holds.
func (p *Planner) worthwhile(g Group) bool {
	return price(p.last.Service.Autoscale, g)*savingPeriod.Seconds() > p.cachedTokens()/prefillTokensPerSecond
}

// byPrice returns the groups, the most expensive first.
func (p *Planner) byPrice(c counts) []Group {
	groups := sortedGroups(c)
	slices.SortStableFunc(groups, func(a, b Group) int {
		return cmp.Compare(price(p.last.Service.Autoscale, b), price(p.last.Service.Autoscale, a))
	})
	return groups
}

func sortedGroups(c counts) []Group {
	groups := make([]Group, 0, len(c))
	for g := range c {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		if c := cmp.Compare(a.DataCentre, b.DataCentre); c != 0 {
			return c
		}
		if a.Reclaimable == b.Reclaimable {
			return 0
		}
		if b.Reclaimable {
			return -1
		}
		return 1
	})
	return groups
}
