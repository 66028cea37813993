package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/decision"
)

// verdictBuffer is how many verdicts wait for a reader.
const verdictBuffer = 16

// localSession ties a request to a pool in this process.
type localSession struct {
	pool     *pool
	id       decision.RequestID
	verdicts chan Verdict
}

func (s *localSession) Verdicts() <-chan Verdict { return s.verdicts }

func (s *localSession) FirstToken(attempt uint32, after time.Duration) {
	s.pool.addLater(func(in *decision.Input) {
		in.FirstTokens = append(in.FirstTokens, decision.FirstToken{ID: s.id, Attempt: attempt, After: after})
	})
}

func (s *localSession) Progress(attempt uint32, tokens int, gap time.Duration) {
	s.pool.addLater(func(in *decision.Input) {
		in.Progress = append(in.Progress, decision.Progress{ID: s.id, Attempt: attempt, Tokens: tokens, Gap: gap})
	})
}

func (s *localSession) Fail(f decision.Failure) {
	s.pool.add(func(in *decision.Input) { in.Failures = append(in.Failures, f) })
}

func (s *localSession) End(e decision.End) {
	s.pool.add(func(in *decision.Input) {
		in.Ends = append(in.Ends, e)
		delete(s.pool.sessions, s.id)
	})
}

func (s *localSession) Withdraw() {
	s.pool.add(func(in *decision.Input) {
		in.Withdrawals = append(in.Withdrawals, decision.Withdrawal{ID: s.id})
		delete(s.pool.sessions, s.id)
	})
}
