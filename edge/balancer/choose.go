package balancer

// Requests of all sizes share the same engines. A long prompt delays the first
// event of the requests queued behind it. It also lengthens the event gaps of
// the requests that run at the same time. So each server gets a cost, and the
// cheapest server is chosen. The unit of all costs is one lost request: a
// server that certainly fails the request costs 1.

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// Parameters of a typical engine. The method slowness learns from each server's
// responses how much slower or faster the server is.
const (
	prefillTokensPerMs = 56.6
	// A decode step takes decodeStepMs, plus decodeStepMsPerRequest for each
	// running request.
	decodeStepMs           = 3.79
	decodeStepMsPerRequest = 0.0893
	// firstEventBaseMs is the part of the time to the first event that is not
	// spent on queueing, prefill and decoding.
	firstEventBaseMs = 30.0
	// prefillChunkTokens is the largest number of prompt tokens that an engine
	// prefills between two decode steps.
	prefillChunkTokens = 2048
	// slotWaitMs is the expected time, in milliseconds, after which the queue
	// for a slot moves up by one request.
	slotWaitMs = 30
	// plainCallMs is the assumed duration, in milliseconds, of a call to a
	// plain service. A plain service does not run a language model.
	plainCallMs = 20.0
)

const (
	// cacheMissCost is the cost of a prompt token that the server must prefill
	// although another server has it cached.
	cacheMissCost = 2.0 / 13000
	// If no server has a token of a shared prefix block cached,
	// nonPreferredCost is the cost of this token at every server but the
	// preferred one. The next requests with the same prefix will go to the
	// preferred server, so these requests need no second prefill of the token.
	nonPreferredCost = cacheMissCost / 4
	// prefillDelayCost is the cost of delaying one waiting request by one
	// millisecond. A prefill delays every request that waits at the same
	// server.
	prefillDelayCost = 0.0005
	// safeMemoryFraction is the fraction of an engine's memory that running
	// requests may use at no cost. If the requests use a larger fraction, the cost
	// is memoryOverflowCost times the excess over safeMemoryFraction.
	safeMemoryFraction = 0.7
	memoryOverflowCost = 6.0
	// delaySlope is the cost of an expected delay that equals the latency
	// target. Other delays cost in proportion. So if the request would be on
	// time at all servers, a faster server is still cheaper.
	delaySlope = 0.10
	// eventGapSlope is the cost of an expected event gap that equals its
	// target. Other gaps cost in proportion.
	eventGapSlope = 0.05
	// remoteCost is the cost of a server in another data centre.
	remoteCost = 0.03
	// jitterCost is the upper bound of a random cost that is added for each
	// server. Without the random cost, instances with the same data would all
	// choose the same server.
	jitterCost = 0.004
	// lateLoss is the fraction of a request's value that is lost if it is late.
	lateLoss = 0.7
	// lateFromRatio and fullyLateRatio are ratios of a request's expected time
	// to its target. At a ratio up to lateFromRatio, the request counts as on
	// time. From fullyLateRatio on, it counts as certainly late. In between,
	// the probability that it is late rises in proportion.
	lateFromRatio  = 0.5
	fullyLateRatio = 1.3
	// shortPromptFactor is how many times as many servers are examined for a short prompt
	// as for a long one.
	shortPromptFactor = 2
	// overdueSlope is how much the result of lateProbability rises above 1 if
	// the ratio exceeds fullyLateRatio by fullyLateRatio - lateFromRatio. Other
	// excesses raise the result in proportion. So if a request is certainly
	// late at all servers, a server with a shorter delay is still cheaper.
	overdueSlope = 0.1
)

// Choose returns the attempt with the lowest cost among the candidates. If
// there are many instances, it examines only a sample of the candidates. It
// returns false only if there are no candidates.
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
	prefills := b.meanPrefills(r, reserved, now)
	preferred := -1
	if len(sharedBlocks) > 0 {
		preferred = preferredServer(sharedBlocks[len(sharedBlocks)-1].ID, keys, reserved, r.PriorityIndex)
	}
	sample := b.sample(len(candidates), sampleFactor(r, maxCached), func(i int) bool { return reserved.reservedFor(i, r.PriorityIndex) })
	warm := b.warmServers(keys, now)
	best := -1
	var fastest time.Duration
	var examined []*Attempt
	for i := range attempts {
		a := &attempts[i]
		hasLongestPrefix := maxCached > 0 && a.CachedTokens == maxCached
		isWarm := len(warm) > 0 && warm[i]
		if !hasLongestPrefix && i != preferred && !sample.contains(i) && !isWarm {
			continue
		}
		b.estimateCost(a, r, now)
		if len(reserved) > 0 {
			a.grouped, a.level = true, reserved[i]
		}
		if len(prefills) > 0 {
			state := b.serverState(a.Key)
			pressure := prefillPressure{perSecond: state.arrivalsPerSecond(now), meanTokens: prefills[a.level]}
			a.PauseProbability = pressure.pauseProbability(r, a.Load, b.engineSpeed(state, r.Service.Name, now))
			a.Cost += lateLoss * a.PauseProbability
		}
		a.Cost += cacheMissCost * float64(max(maxCached-a.CachedTokens, 0))
		if i != preferred {
			a.Cost += nonPreferredCost * float64(sumTokens(sharedBlocks)-maxCached)
		}
		if reserved.excludes(i, r.PriorityIndex) {
			a.Cost += reservedCost
		} else {
			if !b.suspected(a.Server.DataCentre, now) {
				examined = append(examined, a)
			}
			if delay := a.delay(); fastest == 0 || delay < fastest {
				fastest = delay
			}
		}
		if best < 0 || a.Cost < attempts[best].Cost {
			best = i
		}
	}
	chosen := attempts[best]
	chosen.FastestDelay, chosen.examined = fastest, examined
	return chosen, true
}

// sampleFactor returns how many times the usual number of servers is examined for a request.
// Instances that choose the same server at once do little harm with short prompts.
func sampleFactor(r Request, cachedTokens int) int {
	if r.MaxEventGap > 0 && r.PromptTokens-cachedTokens <= prefillChunkTokens {
		return shortPromptFactor
	}
	return 1
}

// estimateCost sets the attempt's expected delay and cost. It leaves out the
// costs that depend on the other candidates: Choose adds them.
func (b *Balancer) estimateCost(a *Attempt, r Request, now time.Time) {
	s := b.serverState(a.Key)
	load := s.totalLoad()
	slowness := s.slowness(now)
	a.Load, a.OwnLoad, a.Slowness = load, s.localLoad, slowness
	var firstEventMillis, eventGapMillis float64
	if r.Service.IsEngine() {
		firstEventMillis, eventGapMillis = engineTimes(load, max(r.PromptTokens-a.CachedTokens, 0), r.Service)
		a.Cost += memoryCost(load.MemoryTokens+r.memoryTokens(), r.Service.MemoryTokens)
	} else {
		firstEventMillis = plainCallMillis(load, a.Server.Slots)
	}
	a.ExpectedDelay = time.Duration(firstEventMillis * float64(time.Millisecond))
	delayRatio := targetRatio(firstEventMillis*slowness, r.LatencyTarget)
	gapRatio := targetRatio(eventGapMillis*slowness, r.MaxEventGap)
	// An event gap begins to count as late at its target, where gapRatio is 1.
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
	a.Cost += b.connectionCost(a, now)
	a.Cost += jitterCost * b.random.Float64()
}

// engineTimes estimates, in milliseconds, the time to the first event and the
// gap between events at an engine. The parameter uncachedTokens is the number
// of the request's prompt tokens that the engine has to prefill.
func engineTimes(load Load, uncachedTokens int, service catalog.Service) (firstEvent, eventGap float64) {
	slots, eventTokens := service.Slots, float64(service.EventTokens)
	decodeStep := decodeStepMillis(load, slots)
	firstEvent = firstEventBaseMs + eventTokens*decodeStep + prefillMillis(load.PrefillTokens+uncachedTokens)
	firstEvent += slotWaitMs * float64(max(load.Running+1-slots, 0))
	// Between two decode steps, the engine prefills at most prefillChunkTokens
	// of the queued prompt tokens.
	prefill := prefillMillis(min(load.PrefillTokens+uncachedTokens, prefillChunkTokens))
	return firstEvent, eventTokens * (decodeStep + prefill)
}

// decodeStepMillis returns how long, in milliseconds, a decode step takes at an engine that
// prefills nothing.
func decodeStepMillis(load Load, slots int) float64 {
	return decodeStepMs + decodeStepMsPerRequest*float64(min(load.Running, slots))
}

// prefillMillis returns the time, in milliseconds, that an engine takes to
// prefill the given number of tokens.
func prefillMillis(tokens int) float64 { return float64(tokens) / prefillTokensPerMs }

// memoryCost returns the cost of using more than safeMemoryFraction of an
// engine's memory. An engine that runs out of memory preempts running requests
// and has to prefill them again.
func memoryCost(usedTokens, memoryTokens int) float64 {
	excess := float64(usedTokens)/float64(memoryTokens) - safeMemoryFraction
	return max(excess, 0) * memoryOverflowCost
}

// plainCallMillis estimates the duration, in milliseconds, of a call to a plain
// service, which does not run a language model.
func plainCallMillis(load Load, slots int) float64 {
	rounds := float64(load.Running+1) / float64(slots)
	return plainCallMs * max(rounds, 1)
}

// targetRatio returns a time in milliseconds divided by its target. If there is
// no target, targetRatio returns 0.
func targetRatio(millis float64, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return millis / (target.Seconds() * 1000)
}

// lateProbability returns how likely a request is to be late. The parameter
// ratio is its expected time divided by its target. Beyond fullyLateRatio the
// result exceeds 1 and keeps rising slowly: see overdueSlope.
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
