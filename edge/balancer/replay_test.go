package balancer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// This file replays workloads in virtual time against simulated engines. The
// engines prefill one prompt after another, cache what they prefilled and
// decode in a batch. Several instances choose the servers. Each instance has
// its own balancer and receives delayed reports from the others.

// policy is a method of choosing servers. Each simulated instance has its own
// policy.
type policy interface {
	// choose returns the server for a request, or the reason for its refusal.
	choose(r Request, servers []catalog.BackendServer, now time.Time) (Attempt, outcome.Reason)
	begin(a *Attempt, r Request, now time.Time)
	firstEvent(a *Attempt, now time.Time)
	event(a *Attempt, now time.Time)
	end(a *Attempt, result AttemptResult, now time.Time)
}

// balancerPolicy uses a Balancer.
type balancerPolicy struct{ b *Balancer }

func (p balancerPolicy) choose(r Request, servers []catalog.BackendServer, now time.Time) (Attempt, outcome.Reason) {
	a, _ := p.b.Choose(r, servers, now)
	reason, _ := p.b.Admit(r, &a, now)
	return a, reason
}
func (p balancerPolicy) begin(a *Attempt, r Request, now time.Time) { p.b.BeginAttempt(a, r, now) }
func (p balancerPolicy) firstEvent(a *Attempt, now time.Time)       { p.b.RecordFirstEvent(a, now) }
func (p balancerPolicy) event(a *Attempt, now time.Time)            { p.b.RecordEvent(a, now) }
func (p balancerPolicy) end(a *Attempt, result AttemptResult, now time.Time) {
	p.b.EndAttempt(a, result, now)
}

// hashPolicy is the baseline with which the balancer is compared. It applies
// rendezvous hashing to the last shared block of a prompt. It skips a server
// if the instance has too many requests running there: more than 3 plus 1.5 times
// the mean number of its running requests per server.
// A request without shared blocks goes to the server with the fewest requests
// of the instance.
type hashPolicy struct{ running map[uint64]int }

func (p hashPolicy) choose(r Request, servers []catalog.BackendServer, _ time.Time) (Attempt, outcome.Reason) {
	total := 0
	for _, s := range servers {
		total += p.running[ServerKey(s)]
	}
	bound := 1.5*float64(total)/float64(len(servers)) + 3
	sharedBlocks := r.sharedBlocks()
	best, bestWeight := -1, uint64(0)
	for i, s := range servers {
		key := ServerKey(s)
		if float64(p.running[key]) > bound {
			continue
		}
		weight := ^uint64(p.running[key])
		if len(sharedBlocks) > 0 {
			weight = rendezvous.Weight(sharedBlocks[len(sharedBlocks)-1].ID, key)
		}
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	best = max(best, 0)
	return Attempt{Server: servers[best], Key: ServerKey(servers[best])}, outcome.ReasonNone
}
func (p hashPolicy) begin(a *Attempt, _ Request, _ time.Time)     { p.running[a.Key]++ }
func (p hashPolicy) firstEvent(*Attempt, time.Time)               {}
func (p hashPolicy) event(*Attempt, time.Time)                    {}
func (p hashPolicy) end(a *Attempt, _ AttemptResult, _ time.Time) { p.running[a.Key]-- }

// simulatedEngine prefills prompts in arrival order. It never drops a block
// from its cache.
type simulatedEngine struct {
	// freeAt is when the engine will have prefilled all queued prompts.
	freeAt time.Time
	// cached holds the IDs of the blocks in the engine's cache.
	cached map[uint64]bool
	// slowdown multiplies the prefill time and the length of a decode step.
	slowdown float64
	// failureShare is the fraction of requests that the engine fails at once.
	failureShare float64
	// busySince is when the engine began to prefill the prompts that end at freeAt.
	busySince time.Time
	// streams are the responses whose pauses are watched. Some may have ended.
	streams []*simulatedStream
}

// simulatedStream is a response whose events come from firstEvent to end.
type simulatedStream struct {
	firstEvent, end time.Time
	// prefilled is the longest time without a break for which the engine prefilled other
	// prompts during the response.
	prefilled time.Duration
}

const (
	// simulatedEventTokens is how many tokens an event holds. A decode step takes
	// simulatedStep, and the prefill of at most simulatedChunk tokens precedes it.
	simulatedEventTokens = 4
	simulatedStep        = 5 * time.Millisecond
	simulatedChunk       = 2048
	// watchedGaps is how many event gaps of a response an instance sees.
	watchedGaps = 8
)

// longestPause returns the longest time between two events of the response.
func (e *simulatedEngine) longestPause(s *simulatedStream) time.Duration {
	return e.usualGap() + min(s.prefilled, e.prefillTime(simulatedEventTokens*simulatedChunk))
}

// usualGap returns the time between two events while the engine prefills nothing.
func (e *simulatedEngine) usualGap() time.Duration {
	return time.Duration(simulatedEventTokens * float64(simulatedStep) * e.slowdown)
}

// prefillTime returns how long the engine takes to prefill tokens, at 47 tokens per
// millisecond and ordinary speed.
func (e *simulatedEngine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / 47 * e.slowdown * float64(time.Millisecond))
}

// delayStreams takes in that the prefill of the queued prompts now ends at freeAt.
func (e *simulatedEngine) delayStreams(now time.Time) {
	e.streams = slices.DeleteFunc(e.streams, func(s *simulatedStream) bool { return s.end.Before(now) })
	for _, s := range e.streams {
		from, to := e.busySince, e.freeAt
		if s.firstEvent.After(from) {
			from = s.firstEvent
		}
		if s.end.Before(to) {
			to = s.end
		}
		s.prefilled = max(s.prefilled, to.Sub(from))
	}
}

// startPrefill queues the prompt and returns when the request's first event
// arrives, which is 60 ms after the prefill.
func (e *simulatedEngine) startPrefill(r Request, now time.Time) time.Time {
	uncachedTokens := r.PromptTokens
	prefixCached := true
	for _, block := range r.PrefixBlocks {
		if prefixCached && e.cached[block.ID] {
			uncachedTokens -= block.Tokens
			continue
		}
		prefixCached = false
		e.cached[block.ID] = true
	}
	start := now
	if e.freeAt.After(start) {
		start = e.freeAt
	} else {
		e.busySince = now
	}
	e.freeAt = start.Add(e.prefillTime(uncachedTokens))
	e.delayStreams(now)
	return e.freeAt.Add(60 * time.Millisecond)
}

// scheduledCall is a function to run at a virtual time.
type scheduledCall struct {
	at  time.Time
	run func(now time.Time)
	// seq is the order of calls with the same time.
	seq int
}

// callQueue is a heap of calls, the earliest first.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// requestKind describes one kind of request of a workload.
type requestKind struct {
	perSecond     float64
	latencyTarget time.Duration
	// A prompt consists of one shared prefix block with sharedTokens tokens,
	// and of ownTokens tokens that no other prompt shares. The shared block is
	// one of sharedPrefixes different blocks.
	sharedTokens   int
	sharedPrefixes int
	ownTokens      int
	// decodeTime is the time from the first event to the end of the response.
	decodeTime time.Duration
	// priorityIndex is the PriorityIndex of the requests.
	priorityIndex int
	// maxEventGap, if set, is the target for the longest pause of a response.
	maxEventGap time.Duration
	// answerTokens is the number of tokens of a response.
	answerTokens int
}

// workload describes the simulated engines and instances and the requests to
// replay. The requests arrive during the given number of seconds.
type workload struct {
	seconds   float64
	engines   int
	instances int
	kinds     []requestKind
	// prepareEngines, if set, changes the engines before the first request.
	prepareEngines func(engines []*simulatedEngine)
	// reportInterval is the time, in seconds, between two reports. 0 means 0.1.
	reportInterval float64
	// isUnreachable, if set, reports whether an instance can't reach an engine.
	isUnreachable func(instance, engine int, now time.Time) bool
}

// replayResult counts requests. A request counts in onTime if it got its first
// event within the latency target and no pause above maxEventGap. repeatedPrefill counts the tokens of shared
// blocks that one engine prefilled although another engine had prefilled
// them before.
type replayResult struct {
	requests, onTime, failed int
	repeatedPrefill          int
	// kinds holds one result for each kind of request, in the order of the
	// workload's kinds.
	kinds []kindResult
}

type kindResult struct {
	requests, onTime, refused int
	// seconds counts the requests that arrived in each second.
	seconds []secondResult
}

// secondResult counts the requests of one kind that arrived in one second.
type secondResult struct{ requests, refused int }

// within sums the requests that arrived in the given number of seconds from the
// second first on.
func (r kindResult) within(first, seconds int) secondResult {
	var sum secondResult
	for _, s := range r.seconds[min(first, len(r.seconds)):min(first+seconds, len(r.seconds))] {
		sum.requests += s.requests
		sum.refused += s.refused
	}
	return sum
}

func (r kindResult) onTimeFraction() float64 { return float64(r.onTime) / float64(r.requests) }

func (r replayResult) String() string {
	text := fmt.Sprintf("%d requests, fraction on time %.3f, fraction failed %.3f, repeated prefill of %d tokens",
		r.requests, r.fraction(r.onTime), r.fraction(r.failed), r.repeatedPrefill)
	for _, k := range r.kinds {
		text += fmt.Sprintf("; next kind in the order of the workload's kinds: %d requests, fraction on time %.3f, %d refused", k.requests, k.onTimeFraction(), k.refused)
	}
	return text
}

// fraction returns n divided by the number of requests.
func (r replayResult) fraction(n int) float64 { return float64(n) / float64(r.requests) }

// replay runs a workload with one policy for each instance. It calls the
// function report at each report interval, to deliver reports between the
// instances. If report is nil, no reports are delivered.
func replay(w workload, seed uint64, policies []policy, report func(now time.Time)) replayResult {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1_000_000, 0)
	var queue callQueue
	seq := 0
	push := func(at time.Time, do func(now time.Time)) {
		seq++
		heap.Push(&queue, scheduledCall{at, do, seq})
	}
	engines := make([]*simulatedEngine, w.engines)
	servers := make([]catalog.BackendServer, w.engines)
	engineIndex := make(map[uint64]int)
	for i := range engines {
		engines[i] = &simulatedEngine{cached: make(map[uint64]bool), slowdown: 1}
		servers[i] = catalog.BackendServer{
			ID: fmt.Sprintf("s%d", i), Slots: 64, DataCentre: fmt.Sprintf("dc%d", i%4), Service: "m",
		}
		engineIndex[ServerKey(servers[i])] = i
	}
	if w.prepareEngines != nil {
		w.prepareEngines(engines)
	}
	result := replayResult{kinds: make([]kindResult, len(w.kinds))}
	for n := range result.kinds {
		result.kinds[n].seconds = make([]secondResult, int(w.seconds)+1)
	}
	prefilled := make(map[uint64]bool)
	sendRequest := func(kind int, prefixID uint64, ownID uint64, now time.Time) {
		k := w.kinds[kind]
		result.requests++
		result.kinds[kind].requests++
		second := &result.kinds[kind].seconds[int(now.Sub(start).Seconds())]
		second.requests++
		instance := random.IntN(w.instances)
		r := Request{
			Service: catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: simulatedEventTokens}, LatencyTarget: k.latencyTarget,
			PriorityIndex: k.priorityIndex, PriorityLevels: 3, Urgency: catalog.Urgency{RoutePriority: k.priorityIndex}, PromptTokens: k.sharedTokens + k.ownTokens,
			PrefixBlocks: []PrefixBlock{{ID: prefixID, Tokens: k.sharedTokens}, {ID: ownID, Tokens: k.ownTokens}},
			MaxEventGap:  k.maxEventGap, AnswerTokens: k.answerTokens,
		}
		a, reason := policies[instance].choose(r, servers, now)
		if reason != outcome.ReasonNone {
			result.kinds[kind].refused++
			second.refused++
			return
		}
		i := engineIndex[a.Key]
		e := engines[i]
		policies[instance].begin(&a, r, now)
		if w.isUnreachable != nil && w.isUnreachable(instance, i, now) {
			result.failed++
			push(now.Add(250*time.Millisecond), func(now time.Time) { policies[instance].end(&a, NoResponse, now) })
			return
		}
		if random.Float64() < e.failureShare {
			result.failed++
			push(now.Add(2*time.Millisecond), func(now time.Time) { policies[instance].end(&a, Failed, now) })
			return
		}
		if prefilled[prefixID] && !e.cached[prefixID] {
			result.repeatedPrefill += k.sharedTokens
		}
		prefilled[prefixID] = true
		firstEventAt := e.startPrefill(r, now)
		stream := &simulatedStream{firstEvent: firstEventAt, end: firstEventAt.Add(k.decodeTime)}
		if k.maxEventGap > 0 {
			e.streams = append(e.streams, stream)
		}
		beganInTime := firstEventAt.Sub(now) <= k.latencyTarget
		unreachable := func(now time.Time) bool { return w.isUnreachable != nil && w.isUnreachable(instance, i, now) }
		push(firstEventAt, func(now time.Time) {
			if !unreachable(now) {
				policies[instance].firstEvent(&a, now)
			}
		})
		for n := range watchedGaps {
			at := firstEventAt.Add(time.Duration(n+1) * e.usualGap())
			if k.maxEventGap > 0 && at.Before(stream.end) {
				push(at, func(now time.Time) { policies[instance].event(&a, now) })
			}
		}
		push(firstEventAt.Add(k.decodeTime), func(now time.Time) {
			if beganInTime && (k.maxEventGap == 0 || e.longestPause(stream) <= k.maxEventGap) {
				result.onTime++
				result.kinds[kind].onTime++
			}
			if unreachable(now) {
				policies[instance].end(&a, NoResponse, now)
				return
			}
			policies[instance].end(&a, Succeeded, now)
		})
	}
	var ownID uint64 = 1 << 32
	for n, k := range w.kinds {
		at := 0.0
		for {
			at += random.ExpFloat64() / k.perSecond
			if at > w.seconds {
				break
			}
			ownID++
			prefixID, requestOwnID := uint64(n)<<20|random.Uint64N(uint64(k.sharedPrefixes)), ownID
			push(start.Add(time.Duration(at*float64(time.Second))), func(now time.Time) { sendRequest(n, prefixID, requestOwnID, now) })
		}
	}
	if report != nil {
		for at := 0.0; at < w.seconds; at += cmp.Or(w.reportInterval, 0.1) {
			push(start.Add(time.Duration(at*float64(time.Second))), report)
		}
	}
	for queue.Len() > 0 {
		next := heap.Pop(&queue).(scheduledCall)
		next.run(next.at)
	}
	return result
}

// replayBalancers replays a workload with a Balancer at each instance.
func replayBalancers(w workload, seed uint64) replayResult {
	balancers := make([]*Balancer, w.instances)
	policies := make([]policy, w.instances)
	for i := range balancers {
		balancers[i] = New(Options{DataCentre: fmt.Sprintf("dc%d", i%4), Seed: uint64(i)})
		balancers[i].SetInstances(w.instances)
		policies[i] = balancerPolicy{balancers[i]}
	}
	return replay(w, seed, policies, func(now time.Time) {
		for i, sender := range balancers {
			reports, urgencyReports := sender.Reports(now), sender.UrgencyReports(now)
			for j, receiver := range balancers {
				if i == j || w.isUnreachable != nil && w.isUnreachable(i, j%4, now) {
					continue
				}
				receiver.ReceiveReports(fmt.Sprint(i), fmt.Sprintf("dc%d", i%4), reports, now)
				receiver.ReceiveUrgencyReports(fmt.Sprint(i), urgencyReports)
				receiver.ExpireReports(now)
			}
		}
	})
}

// replayHashing replays a workload with a hashPolicy at each instance.
func replayHashing(w workload, seed uint64) replayResult {
	policies := make([]policy, w.instances)
	for i := range policies {
		policies[i] = hashPolicy{make(map[uint64]int)}
	}
	return replay(w, seed, policies, nil)
}
