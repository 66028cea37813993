package schedcore

import "time"

// take follows the events of an input.
func (a *Auditor) take(now time.Duration, in *Input) {
	if in.Config != nil {
		a.configure(in.Config)
	}
	for i := range in.FirstTokens {
		a.heard(in.FirstTokens[i].ID, in.FirstTokens[i].Attempt)
	}
	for i := range in.Progress {
		if in.Progress[i].Tokens > 0 {
			a.heard(in.Progress[i].ID, in.Progress[i].Attempt)
		}
	}
	for i := range in.Completions {
		a.takeEnd(now, &in.Completions[i])
	}
	for i := range in.Failures {
		a.takeFailure(now, &in.Failures[i])
	}
	for i := range in.Withdrawals {
		a.takeWithdrawal(now, in.Withdrawals[i].ID)
	}
	for i := range in.Tickets {
		a.takeTicket(now, &in.Tickets[i])
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
	for _, r := range a.live {
		if cl, ok := a.classes[r.class]; ok {
			r.tier = cl.Tier
		}
	}
}

func (a *Auditor) current(id RequestID, attempt uint32) *audited {
	r := a.requests[id]
	if r == nil || r.state != stateRunning || r.attempt != attempt {
		return nil
	}
	return r
}

func (a *Auditor) heard(id RequestID, attempt uint32) {
	if r := a.current(id, attempt); r != nil {
		r.delivered = true
	}
}

func (a *Auditor) takeEnd(now time.Duration, e *Completion) {
	if r := a.current(e.ID, e.Attempt); r != nil {
		a.end(now, e.ID, r)
		return
	}
	a.endUnknown(now, e.ID)
}

// endUnknown notes a request that ended before its ticket came.
func (a *Auditor) endUnknown(now time.Duration, id RequestID) {
	if a.requests[id] == nil {
		r := &audited{}
		a.requests[id] = r
		a.end(now, id, r)
	}
}

func (a *Auditor) takeFailure(now time.Duration, f *Failure) {
	r := a.current(f.ID, f.Attempt)
	if r == nil {
		return
	}
	r.maybeRan = r.maybeRan || !f.NotStarted || f.Delivered > 0 || r.delivered
	r.state = stateWaiting
	r.since = now
}

func (a *Auditor) takeWithdrawal(now time.Duration, id RequestID) {
	r := a.requests[id]
	if r == nil {
		a.endUnknown(now, id)
		return
	}
	if r.state != stateFree {
		if r.since == now {
			r.left = true
			a.races = append(a.races, r)
		}
		a.end(now, id, r)
	}
}

func (a *Auditor) takeTicket(now time.Duration, t *Ticket) {
	if t.ID == (RequestID{}) {
		return
	}
	r := a.requests[t.ID]
	if r != nil && !(r.referred && t.Referred) {
		a.takeRepeated(now, r, t)
		return
	}
	r = &audited{
		tier:       a.classes[t.Class].Tier,
		class:      t.Class,
		idempotent: t.Idempotent,
		state:      stateWaiting,
		attempt:    t.Attempt,
		delivered:  t.Delivered > 0,
		maybeRan:   t.Delivered > 0 || t.Attempt > 0 || t.Server != "",
		since:      now,
	}
	if _, known := a.classes[t.Class]; known && t.Server != "" {
		a.claim(r, t)
	}
	a.requests[t.ID] = r
	a.live[t.ID] = r
}

func (a *Auditor) claim(r *audited, t *Ticket) {
	r.state = stateRunning
	r.attempt = t.Attempt
	r.maybeRan = true
	r.server = t.Server
}

// takeRepeated follows a claim for a waiting request. A request whose ticket
// came at the same tick may have been answered before its claim was read.
func (a *Auditor) takeRepeated(now time.Duration, r *audited, t *Ticket) {
	if t.Server == "" || r.state != stateWaiting || t.Attempt <= r.attempt {
		return
	}
	if r.since == now && r.attempt == 0 {
		r.racing = true
		a.races = append(a.races, r)
	}
	a.claim(r, t)
}
