package schedcore

import "time"

// applyInput updates the auditor's records from the events of an input.
func (a *Auditor) applyInput(now time.Duration, in *Input) {
	if in.Config != nil {
		a.configure(in.Config)
	}
	for i := range in.FirstTokens {
		a.recordDelivery(in.FirstTokens[i].ID, in.FirstTokens[i].Attempt)
	}
	for i := range in.Progress {
		if in.Progress[i].Tokens > 0 {
			a.recordDelivery(in.Progress[i].ID, in.Progress[i].Attempt)
		}
	}
	for i := range in.Completions {
		a.applyCompletion(now, &in.Completions[i])
	}
	for i := range in.Failures {
		a.applyFailure(now, &in.Failures[i])
	}
	for i := range in.Withdrawals {
		a.applyWithdrawal(now, in.Withdrawals[i].ID)
	}
	for i := range in.Tickets {
		a.applyTicket(now, &in.Tickets[i])
	}
}

func (a *Auditor) configure(cfg *Config) {
	clear(a.classes)
	for _, cl := range cfg.Classes {
		a.classes[cl.Name] = cl
	}
	clear(a.servers)
	for _, s := range cfg.Servers {
		a.servers[s.Name] = s
	}
	for _, r := range a.open {
		if cl, ok := a.classes[r.class]; ok {
			r.tier = cl.Tier
		}
	}
}

func (a *Auditor) runningAttempt(id RequestID, attempt uint32) *auditedRequest {
	r := a.requests[id]
	if r == nil || r.state != stateRunning || r.attempt != attempt {
		return nil
	}
	return r
}

func (a *Auditor) recordDelivery(id RequestID, attempt uint32) {
	if r := a.runningAttempt(id, attempt); r != nil {
		r.tokensDelivered = true
	}
}

func (a *Auditor) applyCompletion(now time.Duration, e *Completion) {
	if r := a.runningAttempt(e.ID, e.Attempt); r != nil {
		a.closeRequest(now, e.ID, r)
		return
	}
	a.markUnknownEnded(now, e.ID)
}

// markUnknownEnded records a request that ended before its ticket arrived.
func (a *Auditor) markUnknownEnded(now time.Duration, id RequestID) {
	if a.requests[id] == nil {
		r := &auditedRequest{}
		a.requests[id] = r
		a.closeRequest(now, id, r)
	}
}

func (a *Auditor) applyFailure(now time.Duration, f *Failure) {
	r := a.runningAttempt(f.ID, f.Attempt)
	if r == nil {
		return
	}
	r.mayHaveRun = r.mayHaveRun || !f.NotStarted || f.Delivered > 0 || r.tokensDelivered
	r.state = stateWaiting
	r.waitingSince = now
}

func (a *Auditor) applyWithdrawal(now time.Duration, id RequestID) {
	r := a.requests[id]
	if r == nil {
		a.markUnknownEnded(now, id)
		return
	}
	if r.state != stateInactive {
		if r.waitingSince == now {
			r.withdrawnSameTick = true
			a.sameTick = append(a.sameTick, r)
		}
		a.closeRequest(now, id, r)
	}
}

func (a *Auditor) applyTicket(now time.Duration, t *Ticket) {
	if t.ID == (RequestID{}) {
		return
	}
	r := a.requests[t.ID]
	if r != nil && !(r.referred && t.Referred) {
		a.applyDuplicateTicket(now, r, t)
		return
	}
	r = &auditedRequest{
		tier:            a.classes[t.Class].Tier,
		class:           t.Class,
		idempotent:      t.Idempotent,
		state:           stateWaiting,
		attempt:         t.Attempt,
		tokensDelivered: t.Delivered > 0,
		mayHaveRun:      t.Delivered > 0 || t.Attempt > 0 || t.Server != "",
		waitingSince:    now,
	}
	if _, known := a.classes[t.Class]; known && t.Server != "" {
		a.applyClaim(r, t)
	}
	a.requests[t.ID] = r
	a.open[t.ID] = r
}

func (a *Auditor) applyClaim(r *auditedRequest, t *Ticket) {
	r.state = stateRunning
	r.attempt = t.Attempt
	r.mayHaveRun = true
	r.server = t.Server
}

// applyDuplicateTicket marks a waiting request as running if the ticket claims a
// slot for it. If the request's first ticket arrived at the same tick, the core
// may have refused the request before it read the claim. claimedSameTick is then
// set, so that the auditor accepts such a refusal.
func (a *Auditor) applyDuplicateTicket(now time.Duration, r *auditedRequest, t *Ticket) {
	if t.Server == "" || r.state != stateWaiting || t.Attempt <= r.attempt {
		return
	}
	if r.waitingSince == now && r.attempt == 0 {
		r.claimedSameTick = true
		a.sameTick = append(a.sameTick, r)
	}
	a.applyClaim(r, t)
}
