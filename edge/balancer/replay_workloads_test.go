package balancer

import (
	"slices"
	"testing"
	"time"
)

// This file replays workloads with the simulator of replay_test.go and checks the results.

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
