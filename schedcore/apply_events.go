package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// apply is the system that takes in events. Events of unknown requests and of
// ended attempts are counted and dropped.
func (c *Core) apply(in *Input, out *Output) {
	if in.Config != nil {
		c.configure(in.Config, out)
	}
	for i := range in.LoadReports {
		c.applyReport(&in.LoadReports[i])
	}
	for i := range in.CacheHints {
		c.applyHint(&in.CacheHints[i])
	}
	for i := range in.FreeCapacities {
		c.applyPressure(&in.FreeCapacities[i])
	}
	for i := range in.FirstTokens {
		c.applyFirstToken(&in.FirstTokens[i])
	}
	for i := range in.Progress {
		c.applyProgress(&in.Progress[i])
	}
	for i := range in.Completions {
		c.applyEnd(&in.Completions[i])
	}
	for i := range in.Failures {
		c.applyFailure(&in.Failures[i], out)
	}
	for i := range in.Withdrawals {
		c.applyWithdrawal(in.Withdrawals[i].ID)
	}
	for i := range in.Tickets {
		c.applyTicket(&in.Tickets[i], out)
	}
}

// current returns the running row of an attempt.
func (c *Core) current(id RequestID, attempt uint32) (int32, bool) {
	i, ok := c.byID[id]
	if !ok || i < 0 {
		c.stats.Stale++
		return 0, false
	}
	r := &c.rows[i]
	if r.state != stateRunning || r.attempt != attempt {
		c.stats.Stale++
		return 0, false
	}
	return i, true
}

func (c *Core) applyReport(rep *LoadReport) {
	i, ok := c.serverIndex[rep.Server]
	if !ok || rep.Age < 0 || rep.Running < 0 || rep.Waiting < 0 {
		c.stats.Stale++
		return
	}
	c.correct(&c.servers[i], rep)
}

func (c *Core) applyHint(h *CacheHint) {
	i, ok := c.serverIndex[h.Server]
	if !ok {
		c.stats.Stale++
		return
	}
	if h.Evicted {
		c.prefixes.forget(h.Prefix, i)
		return
	}
	c.prefixes.note(h.Prefix, holder{server: i, tokens: int32(min(h.Tokens, maxTokens)), at: c.now})
}

func (c *Core) applyFirstToken(e *FirstToken) {
	i, ok := c.current(e.ID, e.Attempt)
	if !ok {
		return
	}
	r := &c.rows[i]
	r.heard = c.now
	if r.first {
		c.stats.Stale++
		return
	}
	r.first = true
	r.delivered++
	c.servers[r.server].pending -= r.uncached
	c.observeFirstToken(r, min(max(e.After, 0), maxSample))
}

func (c *Core) applyProgress(e *Progress) {
	i, ok := c.current(e.ID, e.Attempt)
	if !ok {
		return
	}
	r := &c.rows[i]
	r.heard = c.now
	if e.Tokens <= 0 {
		return
	}
	r.delivered = min(r.delivered+e.Tokens, maxTokens)
	c.observeGap(r, e)
}

func (c *Core) applyEnd(e *Completion) {
	i, ok := c.current(e.ID, e.Attempt)
	if !ok {
		c.endUnknown(e.ID)
		return
	}
	c.stop(i)
	c.observeEnd(&c.rows[i], e)
	c.stats.Completed++
	c.close(i)
}

// endUnknown keeps a late ticket of a request that ended elsewhere from running
// again.
func (c *Core) endUnknown(id RequestID) {
	if _, ok := c.byID[id]; !ok {
		c.mark(id, markEnded)
	}
}

func (c *Core) applyWithdrawal(id RequestID) {
	i, ok := c.byID[id]
	switch {
	case !ok:
		c.mark(id, markEnded)
		return
	case i < 0:
		c.stats.Stale++
		return
	}
	c.stats.Withdrawn++
	c.detach(i)
	c.close(i)
}

// detach takes a row out of its list.
func (c *Core) detach(i int32) {
	switch c.rows[i].state {
	case stateRunning:
		c.stop(i)
	case stateWaiting:
		c.remove(i)
	}
}

// Bounds of values that come from outside.
const (
	maxTokens = 1 << 24
	maxWaited = 24 * time.Hour
	// maxSample bounds one measured time.
	maxSample = time.Minute
)

func (c *Core) applyTicket(t *Ticket, out *Output) {
	if i, ok := c.byID[t.ID]; ok && !c.reopens(i, t) {
		c.applyRepeated(i, t)
		return
	}
	if t.ID == (RequestID{}) {
		c.stats.Stale++
		return
	}
	c.stats.Tickets++
	i := c.newRow()
	c.byID[t.ID] = i
	r := &c.rows[i]
	c.fill(r, t)
	cl, ok := c.classIndex[t.Class]
	if !ok || c.classes[cl].gone {
		c.refuse(i, outcome.UnknownClass, out)
		return
	}
	r.class = cl
	r.org = c.organisation(t.Organisation)
	r.lane = laneOf(r.org)
	if r.delivered > 0 || c.bookings.take(fingerprint(r), c.now) {
		r.lane = resumeLane
	}
	c.classes[cl].arrivals.add(c.now, 1)
	if t.Server != "" {
		c.claim(i)
		return
	}
	if r.started && !t.Idempotent {
		c.refuse(i, outcome.SchedulerLost, out)
		return
	}
	c.setBounds(r)
	if r.deadline <= c.now {
		c.refuse(i, outcome.DeadlinePassed, out)
		return
	}
	c.push(i)
	c.fresh = append(c.fresh, i)
}

// reopens reports whether a ticket brings back a request that was referred.
func (c *Core) reopens(i int32, t *Ticket) bool { return i == markReferred && t.Referred }

func (c *Core) fill(r *request, t *Ticket) {
	*r = request{ticket: *t, class: none, server: none, failedOn: none, attempt: t.Attempt}
	r.ticket.PromptTokens = clampTokens(t.PromptTokens)
	r.ticket.MaxTokens = clampTokens(t.MaxTokens)
	r.ticket.PrefixTokens = clampTokens(t.PrefixTokens)
	r.delivered = clampTokens(t.Delivered)
	r.started = r.delivered > 0 || t.Attempt > 0 || t.Server != ""
	r.arrived = c.now - min(max(t.Waited, 0), maxWaited)
	r.queued = c.now
	r.deadline = farFuture
	if t.Deadline > 0 && t.Deadline < farFuture-c.now {
		r.deadline = c.now + t.Deadline
	}
}

func clampTokens(n int) int { return min(max(n, 0), maxTokens) }

// claim counts a request that already runs.
func (c *Core) claim(i int32) {
	r := &c.rows[i]
	r.started = true
	c.run(i, c.server(r.ticket.Server))
	c.rows[i].claimed = true
}

// applyRepeated takes a ticket of a known request. A claim of a later attempt
// than the known one replaces a waiting row: the request runs by the grant of
// another scheduler.
func (c *Core) applyRepeated(i int32, t *Ticket) {
	if i < 0 {
		c.stats.Stale++
		return
	}
	r := &c.rows[i]
	switch {
	case t.Server == "":
		c.stats.Stale++
	case r.state == stateRunning && r.attempt == t.Attempt:
		r.heard = c.now
	case r.state == stateWaiting && t.Attempt > r.attempt:
		c.remove(i)
		r.ticket.Server = t.Server
		r.attempt = t.Attempt
		c.claim(i)
	default:
		c.stats.Stale++
	}
}

// addClamped adds durations without overflow into the past. A is negative for
// a time before the core began.
func addClamped(a, b time.Duration) time.Duration {
	if a > 0 && b > farFuture-a {
		return farFuture
	}
	return a + b
}
