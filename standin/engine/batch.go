package engine

import (
	"slices"
	"time"
)

// runBatch computes steps until the engine is closed.
func (e *Server) runBatch() {
	for {
		duration, busy := e.beginStep()
		if !busy {
			if !e.awaitWork() {
				return
			}
			continue
		}
		if !e.sleep(duration) || !e.awaitUnfrozen() {
			return
		}
		e.finishStep()
	}
}

// awaitWork waits until a request is queued. It returns false if the engine is
// closed.
func (e *Server) awaitWork() bool {
	select {
	case <-e.workSignal:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// sleep waits for d. It returns false if the engine is closed.
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

// awaitUnfrozen waits while the engine is frozen. It returns false if the
// engine is closed.
func (e *Server) awaitUnfrozen() bool {
	for {
		faults, faultsChanged := e.currentFaults()
		if !faults.Frozen {
			return e.ctx.Err() == nil
		}
		select {
		case <-faultsChanged:
		case <-e.ctx.Done():
			return false
		}
	}
}

// beginStep moves requests from the queue to the batch, divides the prompt tokens
// of the next step among the requests in the batch and returns the step's
// duration. If the batch is empty, beginStep returns false.
func (e *Server) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillBatch()
	if len(e.running) == 0 {
		return 0, false
	}
	e.stepShares = e.stepShares[:0]
	budget := e.opts.PrefillChunk
	promptTokens := 0
	for _, s := range e.running {
		tokens := min(s.prefillLeft, budget)
		budget -= tokens
		promptTokens += tokens
		e.stepShares = append(e.stepShares, stepShare{stream: s, promptTokens: tokens})
	}
	e.counters.PrefillTokens += int64(promptTokens)
	return e.stepTime(promptTokens), true
}

// stepShare is the work of one step for one stream.
type stepShare struct {
	stream       *stream
	promptTokens int // number of prompt tokens to compute
}

// stepTime returns the duration of a step that computes the given number of
// prompt tokens. The caller holds the lock.
func (e *Server) stepTime(promptTokens int) time.Duration {
	slowdown := 1 + e.opts.BatchSlowdown*float64(len(e.running)-1)
	decode := time.Duration(float64(e.opts.TokenTime) * slowdown)
	prefill := time.Duration(promptTokens) * e.opts.PrefillTime
	return e.applySlowdown(decode + prefill)
}

// applySlowdown multiplies a duration by the fault Slowdown. The caller holds the
// lock.
func (e *Server) applySlowdown(d time.Duration) time.Duration {
	if e.faults.Slowdown <= 0 {
		return d
	}
	return time.Duration(float64(d) * e.faults.Slowdown)
}

// fillBatch moves requests from the queue to the batch while there is room. The
// caller holds the lock.
func (e *Server) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
		s := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.startStream(s)
	}
}

// startStream adds a stream to the batch and counts a run of its attempt and of
// its prompt. The caller holds the lock.
func (e *Server) startStream(s *stream) {
	s.state = stateRunning
	s.started = true
	if e.cache.use(s.job.prefixDigest) {
		s.cachedTokens = s.job.prefixTokens
	}
	s.prefillLeft = max(s.job.promptTokens-s.cachedTokens, 0)
	e.running = append(e.running, s)
	e.attemptRuns[s.job.attempt]++
	e.promptRuns[s.job.digest]++
	e.counters.Started++
	e.counters.CachedTokens += int64(s.cachedTokens)
	e.sampleLoad()
}

// finishStep adds the results of the current step to the streams that are still
// running.
func (e *Server) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, share := range e.stepShares {
		if share.stream.state == stateRunning {
			e.advanceStream(share)
		}
	}
}

// advanceStream adds the result of one step to a stream: the computed prompt
// tokens and, if the prompt is done, one token of the answer. The caller holds
// the lock.
func (e *Server) advanceStream(share stepShare) {
	s := share.stream
	s.prefillLeft -= share.promptTokens
	if s.prefillLeft > 0 {
		return
	}
	if s.computedTokens == 0 {
		e.cache.store(time.Now(), s.job.prefixDigest, s.job.prefixTokens)
	}
	answerTokens := s.job.endToken - s.job.firstToken
	if s.computedTokens < answerTokens {
		s.computedTokens++
		e.counters.ComputedTokens++
	}
	crashAt := e.faults.CrashAfterTokens
	switch {
	case crashAt > 0 && s.computedTokens >= crashAt:
		e.endStream(s, stateCrashed)
	case s.computedTokens >= answerTokens:
		e.endStream(s, stateDone)
	default:
		s.notifyChange()
	}
}

// endStream removes a stream from the queue and the batch and notifies the
// stream's connections. If the stream has no connection, it is held or dropped.
// If the stream has already ended, endStream does nothing. The caller holds the
// lock.
func (e *Server) endStream(s *stream, endState state) {
	if s.ended() {
		return
	}
	s.state = endState
	e.running = removeStream(e.running, s)
	e.waiting = removeStream(e.waiting, s)
	switch endState {
	case stateDone:
		e.counters.Completed++
	case stateCancelled:
		e.counters.Cancelled++
	case stateCrashed:
		e.counters.Crashed++
	}
	s.notifyChange()
	e.sampleLoad()
	e.holdOrDrop(s)
}

// removeStream removes a stream from a list and keeps the order of the others.
func removeStream(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
