package bench

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// runEngine runs steps until the engine has no work. It returns the time that the
// steps took and the number of tokens that they generated.
func runEngine(e *engine) (took time.Duration, tokens int) {
	emit := func(tokenEvent) { tokens++ }
	work := func(int32, int, int) {}
	hint := func(schedcore.CacheHint) {}
	for {
		duration := e.beginStep()
		if duration == 0 {
			return took, tokens
		}
		took += duration
		e.finishStep(emit, work, hint)
	}
}

func enqueueFullBatch(e *engine, answer int) {
	for i := range engineBatchSize {
		e.enqueue(sequence{request: int32(i), attempt: 1, promptTokens: 10, tokensLeft: answer})
	}
}

// TestEngineAtFullBatchReachesTheLowerBound checks that an engine with a full
// batch takes at most a thousandth longer than minEngineSeconds. The best
// possible goodput is computed from minEngineSeconds.
func TestEngineAtFullBatchReachesTheLowerBound(t *testing.T) {
	const answer = 5000
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	enqueueFullBatch(e, answer)
	took, tokens := runEngine(e)
	if tokens != answer*engineBatchSize {
		t.Fatalf("the batch generated %d tokens, want %d", tokens, answer*engineBatchSize)
	}
	lowerBound := minEngineSeconds(10, answer) * engineBatchSize
	if took.Seconds() < lowerBound {
		t.Errorf("the batch took %v, want at least the lower bound of %vs", took, lowerBound)
	}
	if took.Seconds() > lowerBound*1.001 {
		t.Errorf("the batch took %v, want the lower bound of %vs within a thousandth", took, lowerBound)
	}
}

func TestHalfSpeedDoublesStepTime(t *testing.T) {
	full := newEngine(EngineSpec{Name: "a", Speed: 1})
	half := newEngine(EngineSpec{Name: "b", Speed: 0.5})
	enqueueFullBatch(full, 100)
	enqueueFullBatch(half, 100)
	fullTime, _ := runEngine(full)
	halfTime, _ := runEngine(half)
	if halfTime != 2*fullTime {
		t.Errorf("the engine at half speed took %v, want twice the %v of full speed", halfTime, fullTime)
	}
}

func TestEngineCachesPrefix(t *testing.T) {
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	s := sequence{prefix: 7, prefixTokens: 1000, promptTokens: 1200, tokensLeft: 1}
	e.enqueue(s)
	cold, _ := runEngine(e)
	e.enqueue(s)
	warm, _ := runEngine(e)
	if warm >= cold {
		t.Errorf("the request with a cached prefix took %v, want less than the %v of the same request without a cached prefix", warm, cold)
	}
}

func TestPrefixCacheIsBounded(t *testing.T) {
	c := newPrefixCache(100)
	for digest := range uint64(50) {
		c.insert(digest, 30)
		for {
			if _, ok := c.evict(); !ok {
				break
			}
		}
		if c.usedTokens > 100 {
			t.Fatalf("cache holds %d tokens, want at most 100", c.usedTokens)
		}
	}
	if c.lookup(49, 30) != 30 {
		t.Error("the most recent prefix was evicted")
	}
	if c.lookup(0, 30) != 0 {
		t.Error("the oldest prefix was not evicted")
	}
}

// TestEngineHonoursPriority checks that an engine's queue is in order of
// priority, and of arrival at equal priority.
func TestEngineHonoursPriority(t *testing.T) {
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	for i, priority := range []int{2, 0, 1, 0} {
		e.enqueue(sequence{request: int32(i), priority: priority})
	}
	want := []int32{1, 3, 2, 0}
	for i, s := range e.queue {
		if s.request != want[i] {
			t.Errorf("queue position %d holds request %d, want %d", i, s.request, want[i])
		}
	}
}

// TestCancelDuringStep cancels the first of three sequences during a step, and
// checks that the prefill is still counted for the right sequences. The step
// prefills 512 tokens: 100 of the first sequence, 200 of the second and 212 of
// the third.
func TestCancelDuringStep(t *testing.T) {
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	e.enqueue(sequence{request: 0, attempt: 1, promptTokens: 100, tokensLeft: 1})
	e.enqueue(sequence{request: 1, attempt: 1, promptTokens: 200, tokensLeft: 1})
	e.enqueue(sequence{request: 2, attempt: 1, promptTokens: 300, tokensLeft: 1})
	e.beginStep()
	if _, ok := e.cancel(0, 1); !ok {
		t.Fatal("the sequence to cancel was not found")
	}
	prefilledBy := make(map[int32]int)
	e.finishStep(func(tokenEvent) {}, func(i int32, prefilled, _ int) { prefilledBy[i] += prefilled },
		func(schedcore.CacheHint) {})
	if prefilledBy[1] != 200 || prefilledBy[2] != 212 {
		t.Errorf("prefilled %v, want 200 for request 1 and 212 for request 2", prefilledBy)
	}
}
