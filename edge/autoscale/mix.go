package autoscale

// The load that this file answers: a data centre is lost, or all reclaimable replicas of one
// are taken back at once and none can be had for some seconds, while traffic is at its peak. What
// is the cheapest fleet that bears that?

import (
	"cmp"
	"maps"
	"slices"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// lostShare is the part of the replicas that may be lost at any time, beside a data centre.
	lostShare = 0.1
	// reclaimedDataCentres is the number of data centres whose reclaimable replicas may be gone
	// at the same time. After one reclaim none may be had for long enough that another follows.
	reclaimedDataCentres = 2
	// maxReserve bounds the replicas of a fleet that makes up with reclaimable replicas alone for
	// others that are missing, compared with one in which none are.
	maxReserve = 1.25
)

// requirement is what a fleet must bear. All but size is in replicas of ordinary speed.
type requirement struct {
	// size is the number of replicas that there must be at least.
	size float64
	// now must be borne by the whole fleet without lostShare.
	now float64
	// afterLoss must be borne without the largest data centre and lostShare of the rest, and
	// afterReclaims without the reclaimable replicas of reclaimedDataCentres data centres.
	afterLoss, afterReclaims float64
	// urgent must be borne by the replicas that can't be reclaimed.
	urgent float64
}

// counts holds numbers of replicas by group.
type counts map[Group]int

// of returns the number of replicas of both kinds in a data centre.
func (c counts) of(dataCentre string) int {
	return c[Group{dataCentre, false}] + c[Group{dataCentre, true}]
}

// bears reports whether the replicas meet a requirement. speed is what one replica delivers, and
// dataCentres are those in which replicas may run.
func (c counts) bears(r requirement, speed float64, dataCentres []string) bool {
	return c.bearsSize(r, speed, dataCentres) && c.bearsReclaims(r, speed, dataCentres)
}

// bearsSize reports whether the replicas would meet a requirement if none could be reclaimed.
func (c counts) bearsSize(r requirement, speed float64, dataCentres []string) bool {
	total := float64(c.total())
	return total >= r.size && speed*(1-lostShare)*total >= r.now && speed*c.borne(dataCentres) >= r.afterLoss
}

// borne returns how many replicas are left without the largest data centre and lostShare of the
// rest. With a single data centre only the share is lost.
func (c counts) borne(dataCentres []string) float64 {
	total, largest := 0, 0
	for _, dc := range dataCentres {
		total += c.of(dc)
		largest = max(largest, c.of(dc))
	}
	if len(dataCentres) == 1 {
		largest = 0
	}
	return (1 - lostShare) * float64(total-largest)
}

// total returns the number of all replicas.
func (c counts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// bearsReclaims reports whether the replicas meet a requirement after reclaims.
func (c counts) bearsReclaims(r requirement, speed float64, dataCentres []string) bool {
	kept := 0
	var reclaimable []int
	for _, dc := range dataCentres {
		kept += c[Group{dc, false}]
		reclaimable = append(reclaimable, c[Group{dc, true}])
	}
	slices.Sort(reclaimable)
	left := kept
	for _, n := range reclaimable[:max(len(reclaimable)-reclaimedDataCentres, 0)] {
		left += n
	}
	return speed*float64(left) >= r.afterReclaims && c.bearsUrgent(r.urgent, speed)
}

// bearsUrgent reports whether the replicas that can't be reclaimed bear the urgent requests.
func (c counts) bearsUrgent(urgent, speed float64) bool {
	kept := 0
	for g, n := range c {
		if !g.Reclaimable {
			kept += n
		}
	}
	return speed*float64(kept) >= urgent
}

// cost returns the price of the replicas for a second.
func (c counts) cost(o *catalog.Autoscale) float64 {
	sum := 0.0
	for g, n := range c {
		sum += price(o, g) * float64(n)
	}
	return sum
}

// price returns the price of one replica of a group for a second.
func price(o *catalog.Autoscale, g Group) float64 {
	p, ok := o.Prices[g.DataCentre]
	if !ok {
		p = 1
	}
	if g.Reclaimable {
		p *= o.ReclaimablePrice
	}
	return p
}

// mixer looks for the cheapest fleet that meets a requirement.
type mixer struct {
	options     *catalog.Autoscale
	dataCentres []string
	speed       float64
	// present holds the replicas that are there or expected, and refused the groups of which no
	// more can be had now. If reclaimableOnly is set, no others than reclaimable replicas may be
	// added.
	present         counts
	refused         map[Group]bool
	reclaimableOnly bool
}

// canRaise reports whether the number of a group may be raised from n.
func (m *mixer) canRaise(g Group, n int) bool {
	return n < m.present[g] || !m.refused[g] && (g.Reclaimable || !m.reclaimableOnly)
}

// cheapest returns the fleet. If no fleet meets the requirement, it returns the one that comes
// closest.
func (m *mixer) cheapest(r requirement) counts {
	mix := make(counts)
	for _, dc := range m.dataCentres {
		for mix.of(dc) < m.options.Min && m.raise(mix, dc) {
		}
	}
	for !mix.bearsSize(r, m.speed, m.dataCentres) && m.raiseSmallest(mix) {
	}
	for !mix.bearsReclaims(r, m.speed, m.dataCentres) {
		if !m.keepOne(mix) && !m.raiseSmallest(mix) {
			break
		}
	}
	return mix
}

// raised returns the replicas that are present, and the cheapest ones that have to be added.
func (m *mixer) raised(r requirement) counts {
	mix := maps.Clone(m.present)
	for !mix.bearsSize(r, m.speed, m.dataCentres) && m.raiseSmallest(mix) {
	}
	for !mix.bearsUrgent(r.urgent, m.speed) && m.addKept(mix) {
	}
	for most := int(maxReserve * float64(mix.total())); mix.total() < most && !mix.bearsReclaims(r, m.speed, m.dataCentres); {
		if !m.raiseSmallest(mix) {
			break
		}
	}
	return mix
}

// addKept adds a replica that can't be reclaimed to the data centre that has the fewest.
func (m *mixer) addKept(mix counts) bool {
	best, found := Group{}, false
	for _, dc := range m.dataCentres {
		g := Group{dc, false}
		if mix.of(dc) < m.options.Max && m.canRaise(g, mix[g]) && (!found || mix[g] < mix[best]) {
			best, found = g, true
		}
	}
	if found {
		mix[best]++
	}
	return found
}

// raiseSmallest adds a replica to the data centre that has the fewest, or to the next one if that
// isn't possible. Of equal ones it takes the cheapest.
func (m *mixer) raiseSmallest(mix counts) bool {
	order := slices.Clone(m.dataCentres)
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(mix.of(a), mix.of(b)), cmp.Compare(price(m.options, Group{a, false}), price(m.options, Group{b, false})))
	})
	return slices.ContainsFunc(order, func(dc string) bool { return m.raise(mix, dc) })
}

// raise adds a replica of the cheaper kind that can be had in a data centre.
func (m *mixer) raise(mix counts, dc string) bool {
	if mix.of(dc) >= m.options.Max {
		return false
	}
	for _, g := range [...]Group{{dc, true}, {dc, false}} {
		if g.Reclaimable && m.options.ReclaimablePrice <= 0 || !m.canRaise(g, mix[g]) {
			continue
		}
		mix[g]++
		return true
	}
	return false
}

// keepOne replaces a reclaimable replica by one that can't be reclaimed, where the mix has the
// most reclaimable ones.
func (m *mixer) keepOne(mix counts) bool {
	best := ""
	for _, dc := range m.dataCentres {
		from, to := Group{dc, true}, Group{dc, false}
		if mix[from] == 0 || !m.canRaise(to, mix[to]) {
			continue
		}
		if best == "" || mix[from] > mix[Group{best, true}] || mix[from] == mix[Group{best, true}] && price(m.options, to) < price(m.options, Group{best, false}) {
			best = dc
		}
	}
	if best == "" {
		return false
	}
	mix[Group{best, true}]--
	mix[Group{best, false}]++
	return true
}
