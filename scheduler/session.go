package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// decisionBuffer is the capacity of a session's channel of decisions. If the
// channel is full, its reader is assumed to be gone and the request is withdrawn.
const decisionBuffer = 16

// localSession connects a request to a pool in this process.
type localSession struct {
	pool      *pool
	id        schedcore.RequestID
	decisions chan Decision
}

func (s *localSession) Decisions() <-chan Decision { return s.decisions }

func (s *localSession) FirstToken(attempt uint32, after time.Duration) {
	s.pool.addDeferred(func(in *schedcore.Input) {
		in.FirstTokens = append(in.FirstTokens, schedcore.FirstToken{ID: s.id, Attempt: attempt, After: after})
	})
}

func (s *localSession) Progress(attempt uint32, tokens int, gap time.Duration) {
	s.pool.addDeferred(func(in *schedcore.Input) {
		in.Progress = append(in.Progress, schedcore.Progress{ID: s.id, Attempt: attempt, Tokens: tokens, Gap: gap})
	})
}

func (s *localSession) Fail(f schedcore.Failure) {
	s.pool.add(func(in *schedcore.Input) { in.Failures = append(in.Failures, f) })
}

func (s *localSession) Complete(e schedcore.Completion) {
	s.pool.add(func(in *schedcore.Input) {
		in.Completions = append(in.Completions, e)
		delete(s.pool.sessions, s.id)
	})
}

func (s *localSession) Withdraw() {
	s.pool.add(func(in *schedcore.Input) {
		in.Withdrawals = append(in.Withdrawals, schedcore.Withdrawal{ID: s.id})
		delete(s.pool.sessions, s.id)
	})
}
