package bench

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// runEngine steps until the engine is empty and returns the time and tokens.
func runEngine(e *engine) (took time.Duration, tokens int) {
	emit := func(tokenEvent) { tokens++ }
	work := func(int32, int, int) {}
	hint := func(schedcore.CacheHint) {}
	for {
		d := e.begin()
		if d == 0 {
			return took, tokens
		}
		took += d
		e.finish(emit, work, hint)
	}
}

func fullBatch(e *engine, answer int) {
	for i := range engineBatch {
		e.add(sequence{request: int32(i), attempt: 1, prompt: 10, left: answer})
	}
}

func TestEngineAtFullBatchReachesTheBestPossible(t *testing.T) {
	const answer = 5000
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	fullBatch(e, answer)
	took, tokens := runEngine(e)
	if tokens != answer*engineBatch {
		t.Fatalf("got %d tokens, want %d", tokens, answer*engineBatch)
	}
	best := engineSeconds(10, answer) * engineBatch
	if took.Seconds() < best {
		t.Errorf("took %v, less than the best possible %vs", took, best)
	}
	if took.Seconds() > best*1.001 {
		t.Errorf("took %v, want the best possible %vs within a thousandth", took, best)
	}
}

func TestHalfSpeedTakesTwice(t *testing.T) {
	full := newEngine(EngineSpec{Name: "a", Speed: 1})
	half := newEngine(EngineSpec{Name: "b", Speed: 0.5})
	fullBatch(full, 100)
	fullBatch(half, 100)
	a, _ := runEngine(full)
	b, _ := runEngine(half)
	if b != 2*a {
		t.Errorf("half speed took %v, full speed %v", b, a)
	}
}

func TestEngineCachesPrefix(t *testing.T) {
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	s := sequence{prefix: 7, prefixLen: 1000, prompt: 1200, left: 1}
	e.add(s)
	cold, _ := runEngine(e)
	e.add(s)
	warm, _ := runEngine(e)
	if warm >= cold {
		t.Errorf("with the prefix cached it took %v, without %v", warm, cold)
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
		if c.used > 100 {
			t.Fatalf("holds %d tokens, bound 100", c.used)
		}
	}
	if c.lookup(49, 30) != 30 {
		t.Error("the newest prefix is gone")
	}
	if c.lookup(0, 30) != 0 {
		t.Error("the oldest prefix is still there")
	}
}

func TestEngineHonoursPriority(t *testing.T) {
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	for i, priority := range []int{2, 0, 1, 0} {
		e.add(sequence{request: int32(i), priority: priority})
	}
	want := []int32{1, 3, 2, 0}
	for i, s := range e.queue {
		if s.request != want[i] {
			t.Errorf("place %d holds request %d, want %d", i, s.request, want[i])
		}
	}
}

// TestCancelDuringStep removes a sequence between the begin and the end of a
// step, and checks that the others' prefill stays with them.
func TestCancelDuringStep(t *testing.T) {
	e := newEngine(EngineSpec{Name: "a", Speed: 1})
	e.add(sequence{request: 0, attempt: 1, prompt: 100, left: 1})
	e.add(sequence{request: 1, attempt: 1, prompt: 200, left: 1})
	e.add(sequence{request: 2, attempt: 1, prompt: 300, left: 1})
	e.begin()
	if _, ok := e.cancel(0, 1); !ok {
		t.Fatal("the sequence wasn't there")
	}
	worked := make(map[int32]int)
	e.finish(func(tokenEvent) {}, func(i int32, prefilled, _ int) { worked[i] += prefilled },
		func(schedcore.CacheHint) {})
	if worked[1] != 200 || worked[2] != 212 {
		t.Errorf("prefilled %v, want 200 for request 1 and 212 for request 2", worked)
	}
}
