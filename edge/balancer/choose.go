package balancer

// The load this answers: requests of all sizes go through the same engines. A
// long prompt delays the first event of those behind it and the pauses of those
// that run beside it. Each server's cost is the expected part of a request that
// is lost there; the least cost wins.

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// What a typical engine takes. How much slower each server is, is learnt.
const (
	readTokensPerMs = 56.6
	stepMs          = 3.79
	stepMsPerRun    = 0.0893
	// firstMs is what the first event takes beside reading and waiting.
	firstMs = 30.0
	// chunkTokens is how much of prompts is read between two tokens.
	chunkTokens = 2048
	// slotMs is how long a request waits for a slot for each one before it that
	// waits for one.
	slotMs = 30
	// callMs is what a plain service takes for a call.
	callMs = 20.0
)

const (
	// rereadCost is the cost of a token that another server keeps, in requests.
	rereadCost = 2.0 / 13000
	// strayCost is the cost of a token that no server keeps if it is not read at
	// its home, where the next such prompt is sent.
	strayCost = rereadCost / 4
	// delayCost is the cost of each millisecond by which reading a prompt delays
	// one request that waits at the same server.
	delayCost = 0.0005
	// safeMemory is the part of an engine's memory that running requests may
	// take, and crowdCost the cost of all of it beyond.
	safeMemory = 0.7
	crowdCost  = 6.0
	// waitSlope spreads requests that would be on time anywhere.
	waitSlope = 0.10
	// pauseSlope does the same for the pauses between events.
	pauseSlope = 0.05
	// farCost is that of a server in another data centre.
	farCost = 0.03
	// jitterCost keeps instances that know the same from choosing the same.
	jitterCost = 0.004
	// lostWhenLate is the part of a request that is lost if it comes late.
	lostWhenLate = 0.7
	// A request begins to count as late at lateFrom of its objective, and
	// counts as wholly late at lateTo.
	lateFrom = 0.5
	lateTo   = 1.3
	// overdueSlope orders the servers at all of which it would be late.
	overdueSlope = 0.1
)

// Choose returns the best of the candidates, or of a sample of them if many
// instances choose at a time. It fails only without candidates.
func (t *Balancer) Choose(r Request, candidates []catalog.BackendServer, now time.Time) (Attempt, bool) {
	if len(candidates) == 0 {
		return Attempt{}, false
	}
	keys := make([]uint64, len(candidates))
	for i, c := range candidates {
		keys[i] = ServerKey(c)
	}
	shared := r.sharedParts()
	attempts := make([]Attempt, len(candidates))
	mostKept := 0
	for i, c := range candidates {
		kept := t.row(keys[i]).kept.tokens(shared, now)
		attempts[i] = Attempt{Server: c, Key: keys[i], Candidates: len(candidates), CachedTokens: kept}
		mostKept = max(mostKept, kept)
	}
	reserved := reserve(r, keys)
	first := -1
	if len(shared) > 0 {
		first = home(shared[len(shared)-1].ID, keys, reserved, r.PriorityIndex)
	}
	sample := t.sample(len(candidates), func(i int) bool { return reserved.own(i, r.PriorityIndex) })
	best := -1
	var fastest time.Duration
	for i := range attempts {
		a := &attempts[i]
		keeps := mostKept > 0 && a.CachedTokens == mostKept
		if !keeps && i != first && !sample.has(i) {
			continue
		}
		t.weigh(a, r, now)
		a.Cost += rereadCost * float64(max(mostKept-a.CachedTokens, 0))
		if i != first {
			a.Cost += strayCost * float64(sumTokens(shared)-mostKept)
		}
		if reserved.barred(i, r.PriorityIndex) {
			a.Cost += reservedCost
		} else if e := a.honest(); fastest == 0 || e < fastest {
			fastest = e
		}
		if best < 0 || a.Cost < attempts[best].Cost {
			best = i
		}
	}
	attempts[best].FastestDelay = fastest
	return attempts[best], true
}

// weigh sets the attempt's expected time and cost.
func (t *Balancer) weigh(a *Attempt, r Request, now time.Time) {
	s := t.row(a.Key)
	load := s.all()
	slowness := s.slowness(now)
	a.Load, a.Slowness = load, slowness
	var firstMillis, pauseMillis float64
	if r.Service.IsEngine() {
		firstMillis, pauseMillis = engineTimes(load, max(r.PromptTokens-a.CachedTokens, 0), r.Service)
		a.Cost += crowding(load.Memory+r.memory(), r.Service.MemoryTokens)
	} else {
		firstMillis = callTime(load, a.Server.Slots)
	}
	a.ExpectedDelay = time.Duration(firstMillis * float64(time.Millisecond))
	first := ratio(firstMillis*slowness, r.LatencyTarget)
	pause := ratio(pauseMillis*slowness, r.MaxEventGap)
	late := max(lateness(first), lateness(pause*lateFrom))
	failing := s.failing(now)
	a.Cost += failing + (1-failing)*late*lostWhenLate
	a.Cost += waitSlope*first + pauseSlope*pause
	if r.Service.IsEngine() {
		a.Cost += delayCost * readMillis(r.PromptTokens-a.CachedTokens) * slowness * float64(load.Waiting)
	}
	if a.Server.DataCentre != t.opts.DataCentre {
		a.Cost += farCost
	}
	if t.doubted(a.Server.DataCentre, now) {
		a.Cost += doubtCost
	}
	a.Cost += jitterCost * t.random.Float64()
}

// engineTimes estimates the time to the first event and the pauses at an
// engine that has to read this many tokens of the request, in milliseconds.
func engineTimes(load Load, unread int, service catalog.Service) (first, pause float64) {
	slots, eventTokens := service.Slots, float64(service.EventTokens)
	step := stepMs + stepMsPerRun*float64(min(load.Running, slots))
	first = firstMs + eventTokens*step + readMillis(load.Unread+unread)
	first += slotMs * float64(max(load.Running+1-slots, 0))
	// How much of each step goes to reading depends on what waits to be read.
	reading := readMillis(min(load.Unread+unread, chunkTokens))
	return first, eventTokens * (step + reading)
}

// readMillis is the time in which an engine reads tokens.
func readMillis(tokens int) float64 { return float64(tokens) / readTokensPerMs }

// crowding is the cost of filling an engine's memory beyond what is safe: when
// it runs out, running requests are put back and read again.
func crowding(used, memory int) float64 {
	over := float64(used)/float64(memory) - safeMemory
	return max(over, 0) * crowdCost
}

// callTime estimates the time of a call to a plain service, in milliseconds.
func callTime(load Load, slots int) float64 {
	rounds := float64(load.Running+1) / float64(slots)
	return callMs * max(rounds, 1)
}

// ratio is a time against its target, 0 without one.
func ratio(millis float64, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return millis / (target.Seconds() * 1000)
}

// lateness is how likely a request is late whose expected time is this part of
// its target.
func lateness(part float64) float64 {
	over := (part - lateFrom) / (lateTo - lateFrom)
	if over <= 0 {
		return 0
	}
	if over <= 1 {
		return over
	}
	return 1 + overdueSlope*(over-1)
}
