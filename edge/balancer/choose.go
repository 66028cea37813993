package balancer

// Requests of all sizes share the same engines. A long prompt delays the first
// event of the requests queued behind it and widens the event gaps of those
// running beside it. So each server gets a cost, and the cheapest server is
// chosen. The unit of all costs is one lost request: a server that certainly
// fails the request costs 1.

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// Parameters of a typical engine. How much slower or faster a server is than
// these say is learnt from its responses: see the method slowness.
const (
	prefillTokensPerMs = 56.6
	// A decode step takes decodeStepMs, plus decodeStepMsPerRequest for each
	// running request.
	decodeStepMs           = 3.79
	decodeStepMsPerRequest = 0.0893
	// firstEventBaseMs is the part of the time to the first event that is not
	// spent on queueing, prefill and decoding.
	firstEventBaseMs = 30.0
	// prefillChunkTokens is the number of prompt tokens that an engine prefills
	// between two decode steps.
	prefillChunkTokens = 2048
	// slotWaitMs is the expected wait, in milliseconds, for each request that
	// is ahead in the queue for a slot.
	slotWaitMs = 30
	// plainCallMs is the assumed duration of a call to a service that does not
	// run a language model, called a plain service here.
	plainCallMs = 20.0
)

const (
	// cacheMissCost is added at a server for each token of the prompt that is
	// in another server's prefix cache but not in its own.
	cacheMissCost = 2.0 / 13000
	// nonPreferredCost is added at every server but the preferred one, for each
	// token of the shared prefix blocks that no server has cached. The
	// preferred server is where the next requests with the same prefix will go,
	// so prefilling the blocks there serves them too.
	nonPreferredCost = cacheMissCost / 4
	// prefillDelayCost is the cost of each millisecond by which the prefill of
	// a prompt delays one request that waits at the same server.
	prefillDelayCost = 0.0005
	// safeMemoryFraction is the fraction of an engine's memory that running
	// requests may use at no cost. memoryOverflowCost is the cost of exceeding
	// it by the size of the whole memory.
	safeMemoryFraction = 0.7
	memoryOverflowCost = 6.0
	// delaySlope is the cost of an expected delay as long as the latency
	// target. Shorter delays cost proportionally less, so that a faster server
	// is cheaper even if the request would be on time at all of them.
	delaySlope = 0.10
	// eventGapSlope is the cost of an expected event gap as long as its target.
	// Shorter gaps cost proportionally less.
	eventGapSlope = 0.05
	// remoteCost is the cost of a server in another data centre.
	remoteCost = 0.03
	// jitterCost bounds the random cost that keeps instances with the same data
	// from all choosing the same server.
	jitterCost = 0.004
	// lateLoss is the fraction of a request's value that is lost if it is late.
	lateLoss = 0.7
	// A request starts to count as late when its expected time is lateFromRatio
	// of its target, and counts as certainly late at fullyLateRatio.
	lateFromRatio  = 0.5
	fullyLateRatio = 1.3
	// overdueSlope is how much lateProbability rises above 1 each time that the
	// ratio of expected time to target grows by another fullyLateRatio -
	// lateFromRatio. The rise makes a server cheaper at which the request,
	// though certainly late, is less late.
	overdueSlope = 0.1
)

// Choose returns the attempt with the lowest cost among the candidates, or
// among a sample of them if there are many instances. It returns false only if
// there are no candidates.
func (b *Balancer) Choose(r Request, candidates []catalog.BackendServer, now time.Time) (Attempt, bool) {
	if len(candidates) == 0 {
		return Attempt{}, false
	}
	keys := make([]uint64, len(candidates))
	for i, c := range candidates {
		keys[i] = ServerKey(c)
	}
	sharedBlocks := r.sharedBlocks()
	attempts := make([]Attempt, len(candidates))
	maxCached := 0
	for i, c := range candidates {
		cached := b.serverState(keys[i]).cachedBlocks.cachedTokens(sharedBlocks, now)
		attempts[i] = Attempt{Server: c, Key: keys[i], Candidates: len(candidates), CachedTokens: cached}
		maxCached = max(maxCached, cached)
	}
	reserved := reserveEngines(r, keys)
	preferred := -1
	if len(sharedBlocks) > 0 {
		preferred = preferredServer(sharedBlocks[len(sharedBlocks)-1].ID, keys, reserved, r.PriorityIndex)
	}
	sample := b.sample(len(candidates), func(i int) bool { return reserved.reservedFor(i, r.PriorityIndex) })
	best := -1
	var fastest time.Duration
	for i := range attempts {
		a := &attempts[i]
		hasLongestPrefix := maxCached > 0 && a.CachedTokens == maxCached
		if !hasLongestPrefix && i != preferred && !sample.contains(i) {
			continue
		}
		b.estimateCost(a, r, now)
		a.Cost += cacheMissCost * float64(max(maxCached-a.CachedTokens, 0))
		if i != preferred {
			a.Cost += nonPreferredCost * float64(sumTokens(sharedBlocks)-maxCached)
		}
		if reserved.excludes(i, r.PriorityIndex) {
			a.Cost += reservedCost
		} else if delay := a.delay(); fastest == 0 || delay < fastest {
			fastest = delay
		}
		if best < 0 || a.Cost < attempts[best].Cost {
			best = i
		}
	}
	attempts[best].FastestDelay = fastest
	return attempts[best], true
}

// estimateCost sets the attempt's expected delay and cost.
func (b *Balancer) estimateCost(a *Attempt, r Request, now time.Time) {
	s := b.serverState(a.Key)
	load := s.totalLoad()
	slowness := s.slowness(now)
	a.Load, a.Slowness = load, slowness
	var firstEventMillis, eventGapMillis float64
	if r.Service.IsEngine() {
		firstEventMillis, eventGapMillis = engineTimes(load, max(r.PromptTokens-a.CachedTokens, 0), r.Service)
		a.Cost += memoryCost(load.Memory+r.memoryTokens(), r.Service.MemoryTokens)
	} else {
		firstEventMillis = plainCallMillis(load, a.Server.Slots)
	}
	a.ExpectedDelay = time.Duration(firstEventMillis * float64(time.Millisecond))
	delayRatio := targetRatio(firstEventMillis*slowness, r.LatencyTarget)
	gapRatio := targetRatio(eventGapMillis*slowness, r.MaxEventGap)
	lateness := max(lateProbability(delayRatio), lateProbability(gapRatio*lateFromRatio))
	failureProbability := s.failureProbability(now)
	a.Cost += failureProbability + (1-failureProbability)*lateness*lateLoss
	a.Cost += delaySlope*delayRatio + eventGapSlope*gapRatio
	if r.Service.IsEngine() {
		a.Cost += prefillDelayCost * prefillMillis(r.PromptTokens-a.CachedTokens) * slowness * float64(load.Waiting)
	}
	if a.Server.DataCentre != b.opts.DataCentre {
		a.Cost += remoteCost
	}
	if b.suspected(a.Server.DataCentre, now) {
		a.Cost += suspectedCost
	}
	a.Cost += jitterCost * b.random.Float64()
}

// engineTimes estimates, in milliseconds, the time to the first event and the
// gap between events at an engine that has to prefill uncachedTokens of the
// request.
func engineTimes(load Load, uncachedTokens int, service catalog.Service) (firstEvent, eventGap float64) {
	slots, eventTokens := service.Slots, float64(service.EventTokens)
	decodeStep := decodeStepMs + decodeStepMsPerRequest*float64(min(load.Running, slots))
	firstEvent = firstEventBaseMs + eventTokens*decodeStep + prefillMillis(load.Unread+uncachedTokens)
	firstEvent += slotWaitMs * float64(max(load.Running+1-slots, 0))
	// Between two decode steps the engine prefills queued prompt tokens, at most
	// prefillChunkTokens of them.
	prefill := prefillMillis(min(load.Unread+uncachedTokens, prefillChunkTokens))
	return firstEvent, eventTokens * (decodeStep + prefill)
}

// prefillMillis returns how long an engine takes to prefill tokens, in
// milliseconds.
func prefillMillis(tokens int) float64 { return float64(tokens) / prefillTokensPerMs }

// memoryCost is the cost of filling an engine's memory beyond the safe
// fraction. An engine that runs out of memory preempts running requests and has
// to prefill them again.
func memoryCost(usedTokens, memoryTokens int) float64 {
	excess := float64(usedTokens)/float64(memoryTokens) - safeMemoryFraction
	return max(excess, 0) * memoryOverflowCost
}

// plainCallMillis estimates the duration of a call to a service that does not
// run a language model, in milliseconds.
func plainCallMillis(load Load, slots int) float64 {
	rounds := float64(load.Running+1) / float64(slots)
	return plainCallMs * max(rounds, 1)
}

// targetRatio returns a time as a multiple of its target, or 0 without a
// target.
func targetRatio(millis float64, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return millis / (target.Seconds() * 1000)
}

// lateProbability returns how likely a request is to be late if its expected
// time is ratio times its target. Beyond fullyLateRatio the result exceeds 1
// and keeps rising slowly, as overdueSlope says.
func lateProbability(ratio float64) float64 {
	progress := (ratio - lateFromRatio) / (fullyLateRatio - lateFromRatio)
	if progress <= 0 {
		return 0
	}
	if progress <= 1 {
		return progress
	}
	return 1 + overdueSlope*(progress-1)
}
