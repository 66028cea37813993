package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// chatsBesideLongPrompts has chats and long prompts arrive at engines of three speeds. The
// long prompts need about half of the engines' time.
var chatsBesideLongPrompts = workload{
	seconds: 6, engines: 60, instances: 65,
	kinds: []requestKind{
		{perSecond: 80, latencyTarget: 2 * time.Second, sharedTokens: 13300, sharedPrefixes: 200, ownTokens: 6000, decodeTime: 2 * time.Second, priorityIndex: 2, maxEventGap: 800 * time.Millisecond, answerTokens: 160},
		{perSecond: 42, latencyTarget: 600 * time.Millisecond, sharedTokens: 6300, sharedPrefixes: 100, ownTokens: 2890, decodeTime: time.Second, priorityIndex: 1, maxEventGap: 300 * time.Millisecond, answerTokens: 70},
		{perSecond: 78, latencyTarget: 400 * time.Millisecond, sharedTokens: 350, sharedPrefixes: 100, ownTokens: 1110, decodeTime: 2 * time.Second, maxEventGap: 180 * time.Millisecond, answerTokens: 170},
	},
	prepareEngines: func(engines []*simulatedEngine) {
		for i, e := range engines {
			e.slowdown = []float64{1 / 0.7, 1 / 0.7, 1 / 1.7}[i%3]
		}
	},
}

// TestChatsDoNotPauseBesideLongPrompts guards against chats at engines that look idle and
// get long prompts while the chats run. At least 0.85 of the chats must be on time, pauses
// included, which is the share required under high load, and no fewer of the long prompts.
func TestChatsDoNotPauseBesideLongPrompts(t *testing.T) {
	for seed := range uint64(2) {
		got := replayBalancers(chatsBesideLongPrompts, seed)
		t.Logf("seed %d: %v", seed, got)
		for _, kind := range []int{0, 2} {
			if share := got.kinds[kind].onTimeFraction(); share < 0.85 {
				t.Errorf("seed %d, kind %d: a fraction of %.3f is on time, want at least 0.85", seed, kind, share)
			}
		}
	}
}

// TestFastEnginesMakeNoLongPauses guards against keeping chats from engines that are fast
// enough to prefill between their events.
func TestFastEnginesMakeNoLongPauses(t *testing.T) {
	r := Request{Service: catalog.Service{Slots: 64, MemoryTokens: 600_000, EventTokens: 3}, MaxEventGap: 200 * time.Millisecond, AnswerTokens: 170}
	pressure := prefillPressure{perSecond: 4, meanTokens: 6000}
	fast, slow := pressure.pauseProbability(r, Load{}, engineSpeed{0.9, 0.6}), pressure.pauseProbability(r, Load{}, engineSpeed{2.2, 1.6})
	if fast > 0.25 || slow < 0.5 {
		t.Errorf("got probability %.2f at a fast engine and %.2f at a slow one, want at most 0.25 and at least 0.5", fast, slow)
	}
}
