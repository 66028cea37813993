package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// An engine works in steps. A step generates one token for each decoding
// sequence, and prefills at most maxStepPrefill prompt tokens.
const (
	// stepBaseTime is the duration of an empty step at full speed.
	stepBaseTime = 16 * time.Millisecond
	// stepTimePerSequence is added to a step for each decoding sequence.
	stepTimePerSequence = time.Millisecond
	// stepTimePerPromptToken is added to a step for each prefilled prompt
	// token.
	stepTimePerPromptToken = 40 * time.Microsecond
	// maxStepPrefill bounds the prompt tokens that one step prefills.
	maxStepPrefill = 512
	// engineBatchSize bounds the sequences that run at once.
	engineBatchSize = 16
	// prefixCacheTokens is the capacity of the prefix cache in prompt tokens.
	prefixCacheTokens = 24000
)

// EngineSpec describes one engine of a workload.
type EngineSpec struct {
	Name string
	// Speed is relative to an engine of full speed: at 0.5 a step takes twice as
	// long.
	Speed float64
}

// sequence is an attempt that waits or runs on an engine.
type sequence struct {
	// request is the index of the attempt's request.
	request      int32
	attempt      uint32
	priority     int
	prefix       uint64
	prefixTokens int
	promptTokens int
	// cachedTokens counts the prompt tokens that were in the prefix cache, and
	// prefillLeft the prompt tokens still to be prefilled.
	cachedTokens int
	prefillLeft  int
	// tokensLeft counts the answer's tokens still to be generated.
	tokensLeft int
}

// engine simulates an engine with continuous batching. Sequences beyond the
// batch size wait in its queue, by priority and then in order of arrival.
type engine struct {
	spec    EngineSpec
	running []sequence
	queue   []sequence
	cache   prefixCache
	// busy says that a step is running, and down that the engine has crashed.
	busy bool
	down bool
	// epoch rises with each crash, so that the end of a step from before the
	// crash is ignored.
	epoch uint32
	// chunks holds, for each running sequence, the number of prompt tokens that
	// the current step prefills.
	chunks []int
}

func newEngine(spec EngineSpec) *engine {
	return &engine{spec: spec, cache: newPrefixCache(prefixCacheTokens)}
}

// enqueue adds a sequence to the queue, behind those of the same or a more
// urgent priority.
func (e *engine) enqueue(s sequence) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority > s.priority {
		at--
	}
	e.queue = append(e.queue, sequence{})
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = s
}

// cancel removes an attempt from the queue or the batch and returns its
// sequence. It returns false if the attempt isn't there.
func (e *engine) cancel(request int32, attempt uint32) (sequence, bool) {
	for i, s := range e.queue {
		if s.request == request && s.attempt == attempt {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return s, true
		}
	}
	for i, s := range e.running {
		if s.request == request && s.attempt == attempt {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.removeChunk(i)
			return s, true
		}
	}
	return sequence{}, false
}

// removeChunk drops the chunk of a sequence that was removed from running, so
// that the indexes of chunks and running still match.
func (e *engine) removeChunk(removed int) {
	for i := range e.chunks {
		if i > removed {
			e.chunks[i-1] = e.chunks[i]
		}
	}
	if removed < len(e.chunks) {
		e.chunks = e.chunks[:len(e.chunks)-1]
	}
}

// crash drops all state and returns the attempts that were queued or running.
func (e *engine) crash() []sequence {
	lost := append(append([]sequence(nil), e.running...), e.queue...)
	e.running, e.queue, e.chunks = nil, nil, nil
	e.cache = newPrefixCache(prefixCacheTokens)
	e.busy = false
	e.down = true
	e.epoch++
	return lost
}

// beginStep starts a step and returns its duration, or zero if there is no
// work.
func (e *engine) beginStep() time.Duration {
	e.fillBatch()
	if len(e.running) == 0 {
		e.busy = false
		return 0
	}
	e.busy = true
	e.chunks = e.chunks[:0]
	prefillBudget := maxStepPrefill
	duration := stepBaseTime
	for i := range e.running {
		s := &e.running[i]
		chunk := min(s.prefillLeft, prefillBudget)
		prefillBudget -= chunk
		e.chunks = append(e.chunks, chunk)
		if s.prefillLeft == 0 {
			duration += stepTimePerSequence
		}
		duration += time.Duration(chunk) * stepTimePerPromptToken
	}
	return time.Duration(float64(duration) / e.spec.Speed)
}

// fillBatch moves sequences from the queue to the batch while it has room.
func (e *engine) fillBatch() {
	for len(e.running) < engineBatchSize && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.cachedTokens = e.cache.lookup(s.prefix, s.prefixTokens)
		s.prefillLeft = max(s.promptTokens-s.cachedTokens, 1)
		e.running = append(e.running, s)
	}
}

// tokenEvent is one token that a step generated.
type tokenEvent struct {
	request int32
	attempt uint32
	// first and last say that the attempt begins or ends with this token.
	first bool
	last  bool
	// cachedTokens counts the attempt's prompt tokens that were in the prefix
	// cache.
	cachedTokens int
}

// finishStep ends the step. It calls work with the tokens computed for each
// sequence, emit for each generated token, in the order of the batch, and hint
// for each change of the prefix cache.
func (e *engine) finishStep(
	emit func(tokenEvent),
	work func(request int32, prefilled, decoded int),
	hint func(schedcore.CacheHint),
) {
	unfinished := e.running[:0]
	for i, s := range e.running {
		chunk := e.chunks[i]
		decoding := s.prefillLeft == 0
		s.prefillLeft -= chunk
		if s.prefillLeft > 0 {
			work(s.request, chunk, 0)
			unfinished = append(unfinished, s)
			continue
		}
		if !decoding {
			e.cachePrefix(s, hint)
		}
		s.tokensLeft--
		work(s.request, chunk, 1)
		emit(tokenEvent{
			request: s.request, attempt: s.attempt, cachedTokens: s.cachedTokens,
			first: !decoding, last: s.tokensLeft <= 0,
		})
		if s.tokensLeft > 0 {
			unfinished = append(unfinished, s)
		}
	}
	e.running = unfinished
}

// cachePrefix adds the sequence's prefix to the cache, and evicts prefixes while
// the cache is over its capacity. It calls hint for each change.
func (e *engine) cachePrefix(s sequence, hint func(schedcore.CacheHint)) {
	if s.prefixTokens == 0 {
		return
	}
	if e.cache.insert(s.prefix, s.prefixTokens) {
		hint(schedcore.CacheHint{Server: e.spec.Name, Prefix: s.prefix, Tokens: s.prefixTokens})
	}
	for {
		prefix, ok := e.cache.evict()
		if !ok {
			return
		}
		hint(schedcore.CacheHint{Server: e.spec.Name, Prefix: prefix, Evicted: true})
	}
}
