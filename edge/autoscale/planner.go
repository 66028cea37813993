package autoscale

// The load that this file answers: traffic that changes within seconds, while a new replica takes
// seconds to boot, replicas are lost or taken back meanwhile, and each order has a price.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxCatalogAge is the age up to which a confirmation of the catalog is fresh.
	maxCatalogAge = 3 * time.Second
	// minLiveShare is the part of the known instances that must be live for any order, and
	// minLiveToLower the part for one that lowers a number.
	minLiveShare   = 0.5
	minLiveToLower = 0.9
	// trustDelay is how long the view must have been good before an order. Reports and entries
	// of the whole fleet arrive within that time.
	trustDelay = 3 * time.Second
	// reserveUtilisation is the part of the bearable utilisation at which the fleet is planned
	// after losses. Callers' load may grow faster than a replica boots.
	reserveUtilisation = 0.7
	// foundSurplus and foundReclaimed are parts of the number of replicas that were found before
	// any caller came. Until a whole period has been observed, the fleet has foundSurplus of them,
	// so that as many are left after a reclaim, and foundReclaimed after reclaimedDataCentres
	// reclaims.
	foundSurplus   = 1.4
	foundReclaimed = 0.76
	// foundStable is how long the number of replicas must have been the same at first: at the
	// start of a deployment they register one by one.
	foundStable = 1500 * time.Millisecond
	// maxBooting is the part of the fleet that may be ordered within a boot time while callers
	// wait, and maxChange the part by which an order for any other reason changes the fleet while
	// requests run. All instances have to learn of each change, and a new cache is empty.
	maxBooting = 0.15
	maxChange  = 0.05
	// minSaving is the part of the cost by which orders that save must lower it.
	minSaving = 0.05
	// lowerMargin is how much more than the peak the replicas that stay must bear. So a slightly
	// higher peak doesn't bring back what went.
	lowerMargin = 1.1
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

// Planner decides how many replicas of one service run. It is not safe for concurrent use.
type Planner struct {
	groups map[Group]*groupState
	// leaving holds how many replicas of each group were leaving at the last observation.
	leaving counts
	needs   needs
	last    Observation
	// speed is what one replica delivers, on average.
	speed        float64
	trustedSince time.Time
	// found is the number of replicas that there were when the view became trusted, or 0 before
	// that. foundIdle is set if no caller had come by then.
	found     int
	foundIdle bool
}

// New returns a planner that has observed nothing.
func New() *Planner {
	return &Planner{groups: make(map[Group]*groupState), leaving: make(counts), speed: 1}
}

// Observe takes in what the instance knows. It must be called about once a second, also by
// instances that don't order.
func (p *Planner) Observe(o Observation, now time.Time) {
	p.last = o
	p.observeReplicas(now)
	if !o.View.trustworthy() {
		// What happens meanwhile is not observed, so the period begins anew.
		p.trustedSince, p.found, p.needs.since = time.Time{}, 0, time.Time{}
		return
	}
	if p.trustedSince.IsZero() {
		p.trustedSince = now
	}
	if o.Service.Autoscale == nil || !p.trusts(now) {
		return
	}
	p.needs.observe(o.Service, o.Demand, p.speed*float64(p.ready().total()), now)
	if p.found == 0 && (p.stableFor(now) >= foundStable || !p.idle()) {
		p.found, p.foundIdle = p.ready().total(), p.idle()
	}
}

// observeReplicas counts the replicas by group.
func (p *Planner) observeReplicas(now time.Time) {
	ready, leaving := make(counts), make(counts)
	var delivered []float64
	for _, r := range p.last.Replicas {
		if r.Leaving {
			leaving[r.Group]++
			continue
		}
		ready[r.Group]++
		delivered = append(delivered, r.Delivers)
	}
	for g := range ready {
		p.group(g)
	}
	for g, s := range p.groups {
		reclaimed := 0
		if g.Reclaimable && leaving[g] > p.leaving[g] && ready[g] == 0 {
			reclaimed = leaving[g]
		}
		s.observe(ready[g], reclaimed, p.found > 0, now)
	}
	p.leaving = leaving
	p.speed = mean(delivered)
}

// mean returns the average, or 1 of no numbers.
func mean(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func (p *Planner) group(g Group) *groupState {
	s, ok := p.groups[g]
	if !ok {
		s = &groupState{}
		p.groups[g] = s
	}
	return s
}

// ready returns the replicas that are there.
func (p *Planner) ready() counts {
	c := make(counts, len(p.groups))
	for g, s := range p.groups {
		c[g] = s.ready
	}
	return c
}

// expected returns the replicas that are there or ordered.
func (p *Planner) expected(now time.Time) counts {
	c := make(counts, len(p.groups))
	for g, s := range p.groups {
		c[g] = s.expected(now)
	}
	return c
}

// dataCentres returns the data centres that have a price, or else those with replicas.
func (p *Planner) dataCentres() []string {
	var names []string
	for dc := range p.last.Service.Autoscale.Prices {
		names = append(names, dc)
	}
	if len(names) == 0 {
		for g := range p.groups {
			names = append(names, g.DataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// trustworthy reports whether the view is good now.
func (v View) trustworthy() bool {
	return !v.CutOff && v.CatalogAge <= maxCatalogAge && float64(v.Live) > minLiveShare*float64(v.Known)
}

// complete reports whether hardly any instance is missing, so that the load is not understated.
func (v View) complete() bool { return float64(v.Live) >= minLiveToLower*float64(v.Known) }

// trusts reports whether the view has been good for long enough.
func (p *Planner) trusts(now time.Time) bool {
	return !p.trustedSince.IsZero() && now.Sub(p.trustedSince) >= trustDelay
}

// required returns what the fleet must bear for no order that raises its size.
func (p *Planner) required(now time.Time) requirement {
	_, urgent := p.needs.peak()
	lasting := p.needs.average() / reserveUtilisation
	return p.withFound(requirement{
		now: p.needs.forecast(p.last.Service.Autoscale.BootTime), afterLoss: lasting, afterReclaims: lasting, urgent: urgent,
	}, now)
}

// requiredToLower returns what the fleet must bear after an order that lowers its size.
func (p *Planner) requiredToLower(now time.Time) requirement {
	need, urgent := p.needs.peak()
	need = lowerMargin * max(need, p.needs.forecast(p.last.Service.Autoscale.BootTime))
	lasting := need / reserveUtilisation
	return p.withFound(requirement{now: need, afterLoss: lasting, afterReclaims: lasting, urgent: lowerMargin * urgent}, now)
}

// withFound adds what the fleet must bear until a whole period has been observed.
func (p *Planner) withFound(r requirement, now time.Time) requirement {
	if p.needs.wholePeriod(now) {
		return r
	}
	if !p.foundIdle {
		r.size = max(r.size, float64(p.found))
		return r
	}
	r.size = max(r.size, foundSurplus*float64(p.found))
	r.afterReclaims = max(r.afterReclaims, p.speed*foundReclaimed*float64(p.found))
	return r
}

// idle reports whether no caller has come yet.
func (p *Planner) idle() bool { return !p.needs.called }

// Status is what the planner believes, for logs and metrics.
type Status struct {
	// Need is what is expected to be needed in a boot time, in replicas of ordinary speed. Peak
	// and Urgent are what must still be borne when replicas go. Speed is what a replica delivers.
	Need, Peak, Urgent, Speed, Utilisation float64
	// Load is how many replicas of ordinary speed reading the prompts keeps busy now.
	Load            float64
	Trusted, Late   bool
	Ready, Expected int
	// Cost is the price of the replicas that are ready for a second.
	Cost float64
	View View
}

// Status returns what the planner believes.
func (p *Planner) Status(now time.Time) Status {
	if p.last.Service.Autoscale == nil {
		return Status{}
	}
	r := p.requiredToLower(now)
	ready := p.ready()
	return Status{
		Need: p.needs.forecast(p.last.Service.Autoscale.BootTime), Peak: r.afterLoss, Urgent: r.urgent, Speed: p.speed, Utilisation: p.needs.utilisation,
		Trusted: p.trusts(now), Late: p.needs.late, Ready: ready.total(), Expected: p.expected(now).total(),
		Cost: ready.cost(p.last.Service.Autoscale), Load: p.needs.load.prefillWork(), View: p.last.View,
	}
}

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
	if hard := (requirement{now: p.needs.current(), urgent: r.urgent}); !expected.bears(hard, p.speed, dataCentres) {
		return p.raise(m.raised(hard), ReasonCapacity, now)
	}
	m.reclaimableOnly = true
	if soon := (requirement{now: r.now}); !expected.bears(soon, p.speed, dataCentres) {
		return p.raise(m.raised(soon), ReasonCapacity, now)
	}
	m.reclaimableOnly = false
	if !p.idle() && now.Sub(heldSince) < options.BootTime+orderMargin {
		return nil
	}
	if orders := p.save(m, expected, now); len(orders) > 0 {
		return orders
	}
	if !expected.bears(r, p.speed, dataCentres) {
		m.reclaimableOnly = true
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
		more := min(int(math.Ceil(budget*float64(target[g]-expected))), room[g.DataCentre])
		if more <= 0 || now.Before(s.nextOrder) || s.refused(now) {
			continue
		}
		room[g.DataCentre] -= more
		orders = append(orders, Order{Group: g, Desired: s.platformCount(now) + more, Ready: s.ready, Expected: expected, Reason: reason})
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

func (p *Planner) platformCountOf(dataCentre string, now time.Time) int {
	n := 0
	for g, s := range p.groups {
		if g.DataCentre == dataCentre {
			n += s.platformCount(now)
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
		for fewer := min(p.mostToLower(s, target[g], now), most-removed); fewer > 0; fewer-- {
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

// Record takes in what became of an order.
func (p *Planner) Record(o Order, outcome Outcome, now time.Time) {
	bootTime := time.Duration(0)
	if options := p.last.Service.Autoscale; options != nil {
		bootTime = options.BootTime
	}
	p.group(o.Group).record(o, outcome, bootTime, now)
}
