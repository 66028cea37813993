package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// The engine's model: one step gives each decoding sequence one token and
// prefills at most prefillChunk prompt tokens.
const (
	// stepBase is the time of an empty step at full speed.
	stepBase = 16 * time.Millisecond
	// stepPerSequence is added for each decoding sequence.
	stepPerSequence = time.Millisecond
	// stepPerPrompt is added for each prefilled prompt token.
	stepPerPrompt = 40 * time.Microsecond
	// prefillChunk bounds the prompt tokens of one step.
	prefillChunk = 512
	// engineBatch bounds the sequences that run at once.
	engineBatch = 16
	// cacheTokens bounds the prompt tokens that the prefix cache holds.
	cacheTokens = 24000
)

// EngineSpec describes one engine.
type EngineSpec struct {
	Name string
	// Speed is relative to a healthy engine: 0.5 takes twice the time.
	Speed float64
}

// sequence is an attempt on an engine.
type sequence struct {
	request     int32
	attempt     uint32
	priority    int
	prefix      uint64
	prefixLen   int
	prompt      int
	cached      int
	prefillLeft int
	// left counts the tokens still to generate.
	left int
}

// engine batches continuously. Sequences beyond the batch wait inside it, by
// priority and then in order of arrival.
type engine struct {
	spec    EngineSpec
	running []sequence
	queue   []sequence
	cache   prefixCache
	busy    bool
	down    bool
	// epoch rises at each crash, so that a step of before is dropped.
	epoch uint32
	// chunks holds the prompt tokens that the current step prefills of each
	// running sequence.
	chunks []int
}

func newEngine(spec EngineSpec) *engine {
	return &engine{spec: spec, cache: newPrefixCache(cacheTokens)}
}

// add queues a sequence.
func (e *engine) add(s sequence) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority > s.priority {
		at--
	}
	e.queue = append(e.queue, sequence{})
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = s
}

// cancel removes an attempt and returns it.
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
			e.dropChunk(i)
			return s, true
		}
	}
	return sequence{}, false
}

// dropChunk keeps the current step's chunks in line with the running table.
func (e *engine) dropChunk(removed int) {
	for i := range e.chunks {
		if i > removed {
			e.chunks[i-1] = e.chunks[i]
		}
	}
	if removed < len(e.chunks) {
		e.chunks = e.chunks[:len(e.chunks)-1]
	}
}

// crash drops everything and returns the attempts that were on the engine.
func (e *engine) crash() []sequence {
	lost := append(append([]sequence(nil), e.running...), e.queue...)
	e.running, e.queue, e.chunks = nil, nil, nil
	e.cache = newPrefixCache(cacheTokens)
	e.busy = false
	e.down = true
	e.epoch++
	return lost
}

// begin starts a step and returns its duration, or zero if there is no work.
func (e *engine) begin() time.Duration {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return 0
	}
	e.busy = true
	e.chunks = e.chunks[:0]
	budget := prefillChunk
	cost := stepBase
	for i := range e.running {
		s := &e.running[i]
		chunk := min(s.prefillLeft, budget)
		budget -= chunk
		e.chunks = append(e.chunks, chunk)
		if s.prefillLeft == 0 {
			cost += stepPerSequence
		}
		cost += time.Duration(chunk) * stepPerPrompt
	}
	return time.Duration(float64(cost) / e.spec.Speed)
}

func (e *engine) admit() {
	for len(e.running) < engineBatch && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.cached = e.cache.lookup(s.prefix, s.prefixLen)
		s.prefillLeft = max(s.prompt-s.cached, 1)
		e.running = append(e.running, s)
	}
}

// tokenEvent is one token that a step produced.
type tokenEvent struct {
	request int32
	attempt uint32
	first   bool
	last    bool
	cached  int
}

// finish ends the step. It calls work for what each sequence cost, emit for
// each token, in order of the batch, and hint for each change of the prefix
// cache.
func (e *engine) finish(
	emit func(tokenEvent),
	work func(request int32, prefilled, decoded int),
	hint func(schedcore.CacheHint),
) {
	kept := e.running[:0]
	for i, s := range e.running {
		chunk := e.chunks[i]
		decoding := s.prefillLeft == 0
		s.prefillLeft -= chunk
		if s.prefillLeft > 0 {
			work(s.request, chunk, 0)
			kept = append(kept, s)
			continue
		}
		if !decoding {
			e.remember(s, hint)
		}
		s.left--
		work(s.request, chunk, 1)
		emit(tokenEvent{
			request: s.request, attempt: s.attempt, cached: s.cached,
			first: !decoding, last: s.left <= 0,
		})
		if s.left > 0 {
			kept = append(kept, s)
		}
	}
	e.running = kept
}

func (e *engine) remember(s sequence, hint func(schedcore.CacheHint)) {
	if s.prefixLen == 0 {
		return
	}
	if e.cache.insert(s.prefix, s.prefixLen) {
		hint(schedcore.CacheHint{Server: e.spec.Name, Prefix: s.prefix, Tokens: s.prefixLen})
	}
	for {
		prefix, ok := e.cache.evict()
		if !ok {
			return
		}
		hint(schedcore.CacheHint{Server: e.spec.Name, Prefix: prefix, Evicted: true})
	}
}
