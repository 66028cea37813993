package reverseproxy

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/outcome"
)

// beginTiming counts the attempt for the decision on second attempts.
func (f *forwarder) beginTiming(s *sending) {
	s.begunAt = time.Now()
	h, req := f.handler, f.request
	if !h.Hedging.Enabled() {
		return
	}
	s.timing = hedging.Send{
		Class: hedging.Class{Service: req.service.Name, Kind: req.route.Kind.String(), Size: hedging.SizeOf(req.prompt.Tokens)},
		Route: req.route.Name, Server: s.attempt.Key, Expected: s.attempt.ExpectedDelay, Slowness: s.attempt.Slowness,
		Target: req.route.LatencyTarget, MayHedge: req.sends == 1 && req.mayRunBeside(s),
	}
	s.plan = h.Hedging.Begin(&s.timing, s.begunAt)
}

// recordTiming records how long the server took to answer. Failures and refusals often come
// sooner than answers, and don't count.
func (s *sending) recordTiming(h *Handler) {
	if h.Hedging.Enabled() && s.response.StatusCode/100 == 2 && isFromBackendServer(s.response.Header) {
		now := time.Now()
		h.Hedging.Answered(&s.timing, now.Sub(s.begunAt), now)
	}
}

// hedge makes a second attempt if the current server has been slow for long enough, the
// operators' limit allows it and another server has room. It returns when to ask again.
func (r *race) hedge(elapsed time.Duration) time.Duration {
	if !r.mayBegin() {
		r.hedged = true
		return r.patience
	}
	h, current, now := r.f.handler, r.current, time.Now()
	first := !r.asked
	r.asked = true
	decision := h.Hedging.Ask(&current.timing, current.plan, elapsed, first, now)
	if decision.Reason != hedging.Hedge {
		return decision.LookAgain
	}
	s, why := r.newSecond(current.plan)
	if s == nil {
		h.Hedging.Return(&current.timing, why, first, now)
		return decision.LookAgain
	}
	r.hedged = true
	h.Hedging.CountBegun()
	h.Failures.Info("second attempt", "request", r.f.request.id, "route", r.f.request.route.Name, "server", current.attempt.Server.ID,
		"second", s.attempt.Server.ID, "elapsed_ms", elapsed.Milliseconds(), "after_ms", current.plan.After.Milliseconds(),
		"expected_ms", current.attempt.Delay().Milliseconds(), "second_expected_ms", s.attempt.Delay().Milliseconds())
	r.send(s)
	return r.patience
}

// newSecond chooses a server for a second attempt and counts the attempt, like newSending. It
// returns nil and the reason if there is none. plan is that of the slow attempt.
func (r *race) newSecond(plan hedging.Plan) (*sending, hedging.Reason) {
	f := r.f
	if f.handler.Limits.Count() > 0 {
		// The room of servers that name limits is for requests that have no attempt yet.
		return nil, hedging.ServersFull
	}
	if f.handler.Crashes.Suspected(f.request.guardKeys, time.Now()) {
		return nil, hedging.CrashSuspect
	}
	judged := hedging.Hedge
	accept := func(a *balancer.Attempt, load func() balancer.ServiceLoad) *refusal {
		if judged = hedging.Judge(f.loadFor(a, load(), plan), plan.After); judged != hedging.Hedge {
			return refuseNotRun(outcome.NoBackendServer, retrySoon)
		}
		return nil
	}
	begin := func(b balancer.Request, candidates []catalog.BackendServer) (balancer.Attempt, *refusal) {
		return f.handler.Selector.beginSecond(b, candidates, accept)
	}
	s, refused := f.newSending(r.ctx, begin, r.openAttempts())
	switch {
	case refused == nil:
		s.isSecond = true
		return s, hedging.Hedge
	case judged != hedging.Hedge:
		return nil, judged
	case refused.reason == outcome.RetryBudgetSpent:
		return nil, hedging.NoBudget
	}
	return nil, hedging.NoServer
}

// loadFor describes the load for a second attempt at the chosen server.
func (f *forwarder) loadFor(a *balancer.Attempt, all balancer.ServiceLoad, plan hedging.Plan) hedging.Load {
	service := f.request.service
	load := hedging.Load{
		Running: all.Running, Slots: all.Slots, MeanBacklog: all.MeanBacklog,
		SecondRunning: a.Load.Running, SecondSlots: a.Slots(service),
		SecondDelay: time.Duration(plan.TypicalRatio * float64(a.Delay())),
	}
	if service.IsEngine() {
		load.SecondPrompt = f.request.uncachedTokens(a)
		load.SecondMemory = float64(a.Load.MemoryTokens) / float64(service.MemoryTokens)
	}
	return load
}

// outrun marks the current attempt as outrun if the winner was made because its server was
// slow. A server that is silent for longer than patience is left like before.
func (r *race) outrun(winner *sending) {
	elapsed := time.Since(r.lastHeard)
	if !winner.isSecond || elapsed >= r.patience {
		return
	}
	r.current.outrun.Store(true)
	r.f.handler.Hedging.Outrun(&r.current.timing, elapsed, time.Now())
}

// lose ends a further attempt that has no use, because another server answered.
func (r *race) lose(s *sending) {
	r.recordSecond(s, hedging.Lost)
	r.f.endUnneeded(s)
}

// recordSecond counts and logs how an attempt ended, if it is a second one for a slow answer.
func (r *race) recordSecond(s *sending, result hedging.Result) {
	if !s.isSecond {
		return
	}
	s.isSecond = false
	waste := hedging.Waste{}
	switch {
	case result == hedging.Won:
		waste = r.current.waste(r.f.request)
	case s.mayHaveRun():
		waste = s.waste(r.f.request)
	}
	r.f.handler.Hedging.CountResult(result, waste)
	r.f.handler.Failures.Info("second attempt ended", "request", r.f.request.id, "result", result.String(), "server", r.current.attempt.Server.ID,
		"second", s.attempt.Server.ID, "elapsed_ms", time.Since(r.lastHeard).Milliseconds(),
		"wasted_tokens", waste.PromptTokens, "wasted_ms", waste.Time.Milliseconds())
}

// waste returns the work of an attempt whose answer nobody needs. Whether its server has read
// the whole prompt is not known.
func (s *sending) waste(req *request) hedging.Waste {
	return hedging.Waste{PromptTokens: req.uncachedTokens(&s.attempt), Time: time.Since(s.begunAt)}
}

// uncachedTokens is how much of the prompt the attempt's server presumably has to read.
func (req *request) uncachedTokens(a *balancer.Attempt) int {
	return max(req.prompt.Tokens-a.CachedTokens, 0)
}
