package autoscale

// The load that this file answers: traffic that changes within seconds, while a new replica takes
// seconds to boot, replicas are lost or taken back meanwhile, and each order has a price.

import (
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
	// lowerMargin is how much more than the peak the replicas that stay must bear. So a slightly
	// higher peak doesn't bring back what went.
	lowerMargin = 1.1
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
	// lackingSince is since when the replicas don't bear what callers need, or zero. Dear replicas
	// are ordered only once that has lasted for a boot time: what is over sooner would be over
	// before they serve.
	lackingSince time.Time
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

// Record takes in what became of an order.
func (p *Planner) Record(o Order, outcome Outcome, now time.Time) {
	bootTime := time.Duration(0)
	if options := p.last.Service.Autoscale; options != nil {
		bootTime = options.BootTime
	}
	p.group(o.Group).record(o, outcome, bootTime, now)
}
