package engine

import (
	"slices"
	"time"
)

// run computes until the engine closes.
func (e *Server) run() {
	for {
		duration, busy := e.beginStep()
		if !busy {
			if !e.idle() {
				return
			}
			continue
		}
		if !e.sleep(duration) || !e.thaw() {
			return
		}
		e.endStep()
	}
}

// idle waits for work. It reports false when the engine closes.
func (e *Server) idle() bool {
	select {
	case <-e.wake:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// sleep waits for d. It reports false when the engine closes.
func (e *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// thaw waits while the engine is frozen. It reports false when it closes.
func (e *Server) thaw() bool {
	for {
		faults, switched := e.faultsAndSwitch()
		if !faults.Frozen {
			return e.ctx.Err() == nil
		}
		select {
		case <-switched:
		case <-e.ctx.Done():
			return false
		}
	}
}

// beginStep admits requests, plans the prompt tokens of the step and returns
// its duration. It reports false if there is nothing to do.
func (e *Server) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	e.step = e.step[:0]
	budget := e.opts.PrefillChunk
	prompt := 0
	for _, s := range e.running {
		tokens := min(s.prefillLeft, budget)
		budget -= tokens
		prompt += tokens
		e.step = append(e.step, share{stream: s, prompt: tokens})
	}
	e.counters.PrefillTokens += int64(prompt)
	return e.stepTime(prompt), true
}

// share is what one stream gets of a step.
type share struct {
	stream *stream
	prompt int // tokens
}

// stepTime returns a step's duration. The caller holds the lock.
func (e *Server) stepTime(promptTokens int) time.Duration {
	slowdown := 1 + e.opts.BatchSlowdown*float64(len(e.running)-1)
	decode := time.Duration(float64(e.opts.TokenTime) * slowdown)
	prefill := time.Duration(promptTokens) * e.opts.PrefillTime
	return e.slowed(decode + prefill)
}

// slowed applies the fault Slowdown. The caller holds the lock.
func (e *Server) slowed(d time.Duration) time.Duration {
	if e.faults.Slowdown <= 0 {
		return d
	}
	return time.Duration(float64(d) * e.faults.Slowdown)
}

// admit fills the batch from the queue. The caller holds the lock.
func (e *Server) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
		s := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.begin(s)
	}
}

// begin starts the computing of a stream. The caller holds the lock.
func (e *Server) begin(s *stream) {
	s.state = stateRunning
	s.started = true
	if e.cache.touch(s.job.prefix) {
		s.cached = s.job.prefixTokens
	}
	s.prefillLeft = max(s.job.promptTokens-s.cached, 0)
	e.running = append(e.running, s)
	e.runs[s.job.attempt]++
	e.promptRuns[s.job.digest]++
	e.counters.Started++
	e.counters.CachedTokens += int64(s.cached)
	e.sampleLoad()
}

// endStep hands out the step's tokens.
func (e *Server) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, part := range e.step {
		if part.stream.state == stateRunning {
			e.advance(part)
		}
	}
}

// advance takes one stream through a step. The caller holds the lock.
func (e *Server) advance(part share) {
	s := part.stream
	s.prefillLeft -= part.prompt
	if s.prefillLeft > 0 {
		return
	}
	if s.computed == 0 {
		e.cache.store(time.Now(), s.job.prefix, s.job.prefixTokens)
	}
	total := s.job.end - s.job.first
	if s.computed < total {
		s.computed++
		e.counters.ComputedTokens++
	}
	crashAt := e.faults.CrashAfterTokens
	switch {
	case crashAt > 0 && s.computed >= crashAt:
		e.end(s, stateCrashed)
	case s.computed >= total:
		e.end(s, stateDone)
	default:
		s.announce()
	}
}

// end takes a stream out of the queue and the batch and wakes its readers. A
// stream that is over stays as it is. The caller holds the lock.
func (e *Server) end(s *stream, as state) {
	if s.over() {
		return
	}
	s.state = as
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
	switch as {
	case stateDone:
		e.counters.Completed++
	case stateCancelled:
		e.counters.Cancelled++
	case stateCrashed:
		e.counters.Crashed++
	}
	s.announce()
	e.sampleLoad()
	e.settle(s)
}

// without removes s from the list, keeping the order.
func without(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
