package balancer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
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
func (p hashPolicy) end(a *Attempt, _ AttemptResult, _ time.Time) { p.running[a.Key]-- }

// simulatedEngine prefills prompts in arrival order. It never drops a block
// from its cache.
type simulatedEngine struct {
	// freeAt is when the engine will have prefilled all queued prompts.
	freeAt time.Time
	// cached holds the IDs of the blocks in the engine's cache.
	cached map[uint64]bool
	// slowdown multiplies the prefill time.
	slowdown float64
	// failureShare is the fraction of requests that the engine fails at once.
	failureShare float64
}

// startPrefill queues the prompt and returns when the request's first event
// arrives. An engine prefills 47 tokens per millisecond, and the first event
// comes 60 ms after the prefill.
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
	}
	e.freeAt = start.Add(time.Duration(float64(uncachedTokens) / 47 * e.slowdown * float64(time.Millisecond)))
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
// event within the latency target. repeatedPrefill counts the tokens of shared
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
			Service: catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 4}, LatencyTarget: k.latencyTarget,
			PriorityIndex: k.priorityIndex, PriorityLevels: 3, Urgency: catalog.Urgency{RoutePriority: k.priorityIndex}, PromptTokens: k.sharedTokens + k.ownTokens,
			PrefixBlocks: []PrefixBlock{{ID: prefixID, Tokens: k.sharedTokens}, {ID: ownID, Tokens: k.ownTokens}},
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
		if firstEventAt.Sub(now) <= k.latencyTarget {
			result.onTime++
			result.kinds[kind].onTime++
		}
		unreachable := func(now time.Time) bool { return w.isUnreachable != nil && w.isUnreachable(instance, i, now) }
		push(firstEventAt, func(now time.Time) {
			if !unreachable(now) {
				policies[instance].firstEvent(&a, now)
			}
		})
		push(firstEventAt.Add(k.decodeTime), func(now time.Time) {
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

// longPromptBurst has long prompts arrive at twice their usual rate. At the
// start no engine has any prefix block in its cache, as when the load rises
// suddenly after the engines were started.
var longPromptBurst = workload{
	seconds: 9, engines: 18, instances: 7,
	kinds: []requestKind{
		{perSecond: 75, latencyTarget: 1500 * time.Millisecond, sharedTokens: 13300, sharedPrefixes: 107, ownTokens: 3720, decodeTime: 2 * time.Second, priorityIndex: 2},
		{perSecond: 14, latencyTarget: 600 * time.Millisecond, sharedTokens: 6300, sharedPrefixes: 42, ownTokens: 2890, decodeTime: time.Second, priorityIndex: 1},
		{perSecond: 34, latencyTarget: 300 * time.Millisecond, sharedTokens: 350, sharedPrefixes: 100, ownTokens: 1110, decodeTime: 2 * time.Second},
	},
}

// longPromptOverload returns a workload with more prompts than the engines can
// process. The long prompts are the least urgent. They alone would take all of
// the engines' time.
func longPromptOverload(instances int) workload {
	w := longPromptBurst
	w.instances = instances
	w.kinds = slices.Clone(w.kinds)
	w.kinds[0].perSecond = 130
	return w
}

// TestUrgentShortPromptsMeetTargetDuringLongPromptOverload sends more long
// prompts than the engines can process. Fewer than half of the long prompts may
// be refused. At least 0.85 of the requests of each more urgent kind must be on
// time, which is the share required under high load. In all, more requests must
// be on time than with the baseline.
func TestUrgentShortPromptsMeetTargetDuringLongPromptOverload(t *testing.T) {
	for _, instances := range []int{7, 40} {
		comparePolicies(t, longPromptOverload(instances), func(balancer, hashing replayResult) bool {
			long, short := balancer.kinds[0], balancer.kinds[2]
			return short.onTimeFraction() >= 0.85 && balancer.kinds[1].onTimeFraction() >= 0.85 && balancer.onTime > hashing.onTime &&
				long.refused < long.requests/2
		})
	}
}

// TestManyInstancesDoNotOverloadOneServer has many instances that rarely
// report. So when an instance chooses a server, it does not know the recent
// choices of the others. The prompts need only half of the engines' capacity.
// So at least 0.85 of the requests must be on time, which is the share required
// under high load.
func TestManyInstancesDoNotOverloadOneServer(t *testing.T) {
	w := longPromptBurst
	w.seconds, w.engines, w.instances, w.reportInterval = 4, 60, 76, 0.25
	w.kinds = []requestKind{{perSecond: 500, latencyTarget: 300 * time.Millisecond, sharedTokens: 350, sharedPrefixes: 100, ownTokens: 2500, decodeTime: time.Second}}
	for seed := range uint64(2) {
		if got := replayBalancers(w, seed); got.fraction(got.onTime) < 0.85 {
			t.Errorf("seed %d: got %v, want a fraction on time of at least 0.85", seed, got)
		}
	}
}

// surge returns a workload in which all kinds of requests arrive at 2.5 times
// their usual rates. The engines can't process all of them.
func surge(engines, instances int) workload {
	w := longPromptBurst
	w.engines, w.instances = engines, instances
	w.kinds = slices.Clone(w.kinds)
	for n, usualPerEngine := range []float64{1.69, 0.67, 1.58} {
		w.kinds[n].perSecond = 2.5 * usualPerEngine * float64(engines)
	}
	return w
}

// TestUrgentPromptsAreNotRefusedWhileLessUrgentBegin guards against refusals of
// urgent prompts while larger, less urgent ones are sent to the same engines.
func TestUrgentPromptsAreNotRefusedWhileLessUrgentBegin(t *testing.T) {
	// The users' rule TIER allows this many refusals in five seconds.
	const windowSeconds, allowedRefusals, allowedShare = 5, 9, 1.0 / 12
	for _, w := range []workload{surge(9, 7), surge(18, 7), surge(45, 30)} {
		for seed := range uint64(3) {
			got := replayBalancers(w, seed)
			t.Logf("%d engines, seed %d: %v", w.engines, seed, got)
			for first := range int(w.seconds) - windowSeconds + 1 {
				long, urgent := got.kinds[0].within(first, windowSeconds), got.kinds[1].within(first, windowSeconds)
				share := float64(urgent.refused) / float64(urgent.requests)
				if urgent.refused > allowedRefusals && share > allowedShare && long.refused < long.requests {
					t.Errorf("%d engines, seed %d, from second %d: %d of %d urgent prompts were refused while %d less urgent ones began",
						w.engines, seed, first, urgent.refused, urgent.requests, long.requests-long.refused)
				}
			}
		}
	}
}

// comparePolicies replays a workload with several seeds, each time with the
// balancer and with the baseline, hashPolicy. The test fails if acceptable
// returns false for the two results of a seed. The failure names the line of the
// calling test, which has the condition for acceptable results.
func comparePolicies(t *testing.T, w workload, acceptable func(balancer, hashing replayResult) bool) {
	t.Helper()
	for seed := range uint64(4) {
		balancer, hashing := replayBalancers(w, seed), replayHashing(w, seed)
		t.Logf("seed %d: balancer %v; hashing %v", seed, balancer, hashing)
		if !acceptable(balancer, hashing) {
			t.Errorf("seed %d: got balancer %v; hashing %v; want results that meet the condition at this line of the test", seed, balancer, hashing)
		}
	}
}

// TestLongPromptBurstIsServedBetterThanByHashing requires that more requests
// are on time than with the baseline. It also requires that at least 0.85 of
// all requests are on time, which is the share required under high load.
func TestLongPromptBurstIsServedBetterThanByHashing(t *testing.T) {
	comparePolicies(t, longPromptBurst, func(balancer, hashing replayResult) bool {
		return balancer.onTime > hashing.onTime && balancer.fraction(balancer.onTime) >= 0.85
	})
}

// TestFailingServersAreAvoided has 4 of 18 engines fail half of their requests.
// With the balancer, at most a third as many requests may fail as with the
// baseline.
func TestFailingServersAreAvoided(t *testing.T) {
	w := longPromptBurst
	w.kinds = []requestKind{{perSecond: 60, latencyTarget: 600 * time.Millisecond, sharedTokens: 350, sharedPrefixes: 100, ownTokens: 1110, decodeTime: time.Second}}
	w.prepareEngines = func(engines []*simulatedEngine) {
		for i := range 4 {
			engines[i].failureShare = 0.5
		}
	}
	comparePolicies(t, w, func(balancer, hashing replayResult) bool { return balancer.failed*3 <= hashing.failed })
}

// TestSlowServersGetFewerRequests has 3 of 18 engines take six times as long to
// prefill. The baseline does not notice slow engines. With the balancer, more
// requests must be on time than with the baseline.
func TestSlowServersGetFewerRequests(t *testing.T) {
	w := longPromptBurst
	w.kinds = []requestKind{{perSecond: 120, latencyTarget: 300 * time.Millisecond, sharedTokens: 350, sharedPrefixes: 100, ownTokens: 2500, decodeTime: time.Second}}
	w.prepareEngines = func(engines []*simulatedEngine) {
		for i := range 3 {
			engines[i].slowdown = 6
		}
	}
	comparePolicies(t, w, func(balancer, hashing replayResult) bool { return balancer.onTime > hashing.onTime })
}

// TestUnreachableDataCentreIsAvoided cuts one data centre off for four seconds.
// Requests between this data centre and the others are lost. With the balancer,
// at most a quarter as many requests may fail as with the baseline.
func TestUnreachableDataCentreIsAvoided(t *testing.T) {
	w := longPromptBurst
	w.kinds = []requestKind{{perSecond: 100, latencyTarget: 600 * time.Millisecond, sharedTokens: 350, sharedPrefixes: 100, ownTokens: 1110, decodeTime: time.Second}}
	start := time.Unix(1_000_000, 0)
	w.isUnreachable = func(instance, engine int, now time.Time) bool {
		cut := now.After(start.Add(3*time.Second)) && now.Before(start.Add(7*time.Second))
		return cut && (instance%4 == 0) != (engine%4 == 0)
	}
	comparePolicies(t, w, func(balancer, hashing replayResult) bool { return balancer.failed*4 <= hashing.failed })
}

// TestUnreachableDataCentreIsAvoidedDespiteCachedPrefixes cuts one data centre
// off for four seconds. Its engines have the blocks of long prompts cached,
// which makes them seem cheap. With the balancer, at most a quarter as many
// requests may fail as with the baseline.
func TestUnreachableDataCentreIsAvoidedDespiteCachedPrefixes(t *testing.T) {
	w := longPromptBurst
	w.kinds = []requestKind{{perSecond: 40, latencyTarget: 1500 * time.Millisecond, sharedTokens: 13300, sharedPrefixes: 40, ownTokens: 3720, decodeTime: 2 * time.Second}}
	start := time.Unix(1_000_000, 0)
	w.isUnreachable = func(instance, engine int, now time.Time) bool {
		cut := now.After(start.Add(4*time.Second)) && now.Before(start.Add(8*time.Second))
		return cut && (instance%4 == 0) != (engine%4 == 0)
	}
	comparePolicies(t, w, func(balancer, hashing replayResult) bool { return balancer.failed*4 <= hashing.failed })
}
