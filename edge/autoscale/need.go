package autoscale

// The load that this file answers: waves of a few seconds, bursts to a multiple of the usual
// requests that begin within a second, and engines that deliver less than expected. How many
// replicas of ordinary speed are needed so that nobody waits too long?

import (
	"math"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// prefillTokensPerSecond is what an engine of ordinary speed reads if it does nothing else.
	// Replica.Delivers relates to the same engine.
	prefillTokensPerSecond = 56600.0
	// startUtilisation is the part of a replica's time that prefill may take before callers wait
	// too long, as long as nothing else was learnt. Decoding takes about a tenth, and prompts
	// differ in length by a factor of 100.
	startUtilisation = 0.65
	// minUtilisation and maxUtilisation bound what is learnt.
	minUtilisation = 0.3
	maxUtilisation = 0.75
	// utilisationStep is the factor by which the bearable utilisation falls in an observation in
	// which callers are late.
	utilisationStep = 0.97
	// slotFraction and memoryFraction are the parts of a replica's slots and memory that may be
	// in use. Fuller engines answer each request more slowly, or turn requests away.
	slotFraction   = 0.5
	memoryFraction = 0.5
	// lateLimit is the share of late requests from which the replicas don't suffice.
	lateLimit = 1.0 / 12
	// lateUtilisation is the part of the replicas' time that prefill must take for late requests to
	// mean that there are too few. At less, prompts are badly spread, or a few servers are slow.
	lateUtilisation = 0.3
	// lateGrowth is how many replicas are needed while callers are late, compared with those
	// that are ready.
	lateGrowth = 1.1
	// minKindRate is the rate of requests from which the share of late ones says something.
	minKindRate = 5.0
	// smoothing is the time constant with which load is averaged. Prompts differ much in length,
	// so that a single observation says little.
	smoothing = 1500 * time.Millisecond
	// trendPeriod is the time over which the trend of the need is taken.
	trendPeriod = 3 * time.Second
	// newPeak is how far the need must exceed that of the rest of the period for its trend to
	// count.
	newPeak = 1.1
	// maxTrend bounds how much the need is expected to grow within the boot time.
	maxTrend = 1.3
	// minTrend bounds how much it is expected to fall.
	minTrend = 0.6
	// peakPeriod is how long a need counts. It is many times the boot time, and longer than the
	// pauses between bursts.
	peakPeriod = time.Minute
)

// load is the smoothed load.
type load struct {
	running, memoryTokens, prefillPerSecond, prefillRunning float64
}

// towards moves the load towards the demand by the given part.
func (l load) towards(d Demand, part float64) load {
	move := func(from, to float64) float64 { return from + part*(to-from) }
	return load{
		running: move(l.running, d.Running), memoryTokens: move(l.memoryTokens, d.MemoryTokens),
		prefillPerSecond: move(l.prefillPerSecond, d.PrefillPerSecond), prefillRunning: move(l.prefillRunning, d.PrefillRunning),
	}
}

// rate returns the requests a second of all kinds.
func (d Demand) rate() float64 {
	sum := 0.0
	for _, k := range d.Kinds {
		sum += k.PerSecond
	}
	return sum
}

// areLate reports whether too many requests of a kind are late.
func (d Demand) areLate() bool {
	for _, k := range d.Kinds {
		if k.PerSecond >= minKindRate && k.LateShare > lateLimit {
			return true
		}
	}
	return false
}

// urgentShare returns the part of the requests that is more urgent than the least urgent ones.
func (d Demand) urgentShare() float64 {
	least, urgent := 0, 0.0
	for _, k := range d.Kinds {
		least = max(least, k.RoutePriority)
	}
	for _, k := range d.Kinds {
		if k.RoutePriority < least {
			urgent += k.PerSecond
		}
	}
	return urgent / max(d.rate(), 1e-9)
}

// prefillWork returns the number of replicas of ordinary speed that reading the prompts keeps
// busy. The rate of tokens is known for some of the instances, and the running requests of all.
func (l load) prefillWork() float64 {
	share := l.prefillRunning / max(l.running, 1)
	if share <= 0 {
		return 0
	}
	return l.prefillPerSecond / min(share, 1) / prefillTokensPerSecond
}

// sample is the need at one moment.
type sample struct {
	at           time.Time
	need, urgent float64
}

// needs learns what callers need.
type needs struct {
	load       load
	observedAt time.Time
	// called is set once a caller has asked for something. since is the beginning of the time in
	// which callers were observed without a gap.
	called      bool
	since       time.Time
	utilisation float64
	samples     []sample
	// tokensRead sums the prompt tokens that replicas read. It decays with cacheMemory.
	tokensRead float64
	late       bool
}

// observe takes in the demand. ready is what the replicas that are ready deliver together.
func (n *needs) observe(service catalog.Service, d Demand, ready float64, now time.Time) {
	if n.observedAt.IsZero() {
		n.observedAt, n.utilisation = now, startUtilisation
	}
	n.called = n.called || d.Running >= 1 || d.rate() > 0
	if n.called && n.since.IsZero() {
		n.since = now
	}
	elapsed := now.Sub(n.observedAt)
	n.observedAt = now
	n.load = n.load.towards(d, 1-math.Exp(-elapsed.Seconds()/smoothing.Seconds()))
	work := n.load.prefillWork()
	n.tokensRead = n.tokensRead*math.Exp(-elapsed.Seconds()/cacheMemory.Seconds()) + work*prefillTokensPerSecond*elapsed.Seconds()
	utilisation := work / max(ready, 1)
	n.late = d.areLate() && utilisation >= lateUtilisation
	n.learnUtilisation(utilisation, elapsed)
	need := work / n.utilisation
	if service.IsEngine() {
		need = max(need, n.load.running/(slotFraction*float64(max(service.Slots, 1))), n.load.memoryTokens/(memoryFraction*float64(service.MemoryTokens)))
	}
	if n.late && !n.falling(need) {
		need = max(need, lateGrowth*ready)
	}
	n.samples = append(n.samples, sample{now, need, need * d.urgentShare()})
	for len(n.samples) > 1 && now.Sub(n.samples[0].at) > peakPeriod {
		n.samples = n.samples[1:]
	}
}

// falling reports whether a need is below that of the last observation. Prompts that no cache holds
// yet are read once, so such a load is over before a replica boots.
func (n *needs) falling(need float64) bool {
	return len(n.samples) > 0 && need < n.samples[len(n.samples)-1].need
}

// learnUtilisation lowers the bearable utilisation while callers are late at less, and raises it
// to what was borne.
func (n *needs) learnUtilisation(utilisation float64, elapsed time.Duration) {
	switch {
	case elapsed <= 0:
	case n.late && utilisation < n.utilisation/utilisationStep:
		n.utilisation = max(n.utilisation*utilisationStep, minUtilisation)
	case !n.late && utilisation > n.utilisation:
		n.utilisation = min(utilisation, maxUtilisation)
	}
}

// wholePeriod reports whether a whole period has been observed.
func (n *needs) wholePeriod(now time.Time) bool {
	return !n.since.IsZero() && now.Sub(n.since) >= peakPeriod
}

// peak returns the highest need of the last period, and the highest of the urgent requests.
func (n *needs) peak() (need, urgent float64) {
	for _, s := range n.samples {
		need, urgent = max(need, s.need), max(urgent, s.urgent)
	}
	return need, urgent
}

// average returns the average need of the last period.
func (n *needs) average() float64 {
	sum := 0.0
	for _, s := range n.samples {
		sum += s.need
	}
	return sum / float64(max(len(n.samples), 1))
}

// current returns the need at the last observation, or what will be left of it after the given time
// if it falls.
func (n *needs) current(after time.Duration) float64 {
	if len(n.samples) == 0 {
		return 0
	}
	return min(n.samples[len(n.samples)-1].need, n.forecast(after))
}

// forecast returns the need after the given time, by the trend of the last seconds. Growth within
// what the rest of the period has shown counts as a wave, which ends by itself.
func (n *needs) forecast(after time.Duration) float64 {
	if len(n.samples) == 0 {
		return 0
	}
	last := n.samples[len(n.samples)-1]
	first, before := last, 0.0
	for _, s := range n.samples {
		if last.at.Sub(s.at) <= trendPeriod {
			first = s
			break
		}
		before = max(before, s.need)
	}
	elapsed := last.at.Sub(first.at)
	if elapsed <= 0 || last.need > first.need && last.need <= newPeak*before {
		return last.need
	}
	growth := (last.need - first.need) / elapsed.Seconds() * after.Seconds()
	return min(max(last.need+growth, minTrend*last.need), maxTrend*last.need)
}
