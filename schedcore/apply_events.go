package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// applyInput applies the events of a tick. Events of unknown requests and
// ended attempts are counted as stale and dropped.
func (c *Core) applyInput(in *Input, out *Output) {
	if in.Config != nil {
		c.configure(in.Config, out)
	}
	for i := range in.LoadReports {
		c.applyLoadReport(&in.LoadReports[i])
	}
	for i := range in.CacheHints {
		c.applyCacheHint(&in.CacheHints[i])
	}
	for i := range in.FreeCapacities {
		c.applyFreeCapacity(&in.FreeCapacities[i])
	}
	for i := range in.FirstTokens {
		c.applyFirstToken(&in.FirstTokens[i])
	}
	for i := range in.Progress {
		c.applyProgress(&in.Progress[i])
	}
	for i := range in.Completions {
		c.applyCompletion(&in.Completions[i])
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

// runningAttempt returns the index of the request if the given attempt is
// running. Otherwise it counts a stale event and returns false.
func (c *Core) runningAttempt(id RequestID, attempt uint32) (int32, bool) {
	i, ok := c.byID[id]
	if !ok || i < 0 {
		c.stats.StaleEvents++
		return 0, false
	}
	r := &c.requests[i]
	if r.state != stateRunning || r.attempt != attempt {
		c.stats.StaleEvents++
		return 0, false
	}
	return i, true
}

func (c *Core) applyLoadReport(report *LoadReport) {
	i, ok := c.serverIndex[report.Server]
	if !ok || report.Age < 0 || report.Running < 0 || report.Waiting < 0 {
		c.stats.StaleEvents++
		return
	}
	c.updateExternalRequests(&c.servers[i], report)
}

func (c *Core) applyCacheHint(h *CacheHint) {
	i, ok := c.serverIndex[h.Server]
	if !ok {
		c.stats.StaleEvents++
		return
	}
	if h.Evicted {
		c.prefixes.removeHolder(h.Prefix, i)
		return
	}
	c.prefixes.addHolder(h.Prefix, prefixHolder{server: i, tokens: int32(min(h.Tokens, maxTokens)), recordedAt: c.now})
}

func (c *Core) applyFirstToken(e *FirstToken) {
	i, ok := c.runningAttempt(e.ID, e.Attempt)
	if !ok {
		return
	}
	r := &c.requests[i]
	r.lastEventAt = c.now
	if r.firstTokenSeen {
		c.stats.StaleEvents++
		return
	}
	r.firstTokenSeen = true
	r.deliveredTokens++
	c.servers[r.server].pendingPromptTokens -= r.uncachedTokens
	c.observeFirstToken(r, min(max(e.After, 0), maxMeasuredTime))
}

func (c *Core) applyProgress(e *Progress) {
	i, ok := c.runningAttempt(e.ID, e.Attempt)
	if !ok {
		return
	}
	r := &c.requests[i]
	r.lastEventAt = c.now
	if e.Tokens <= 0 {
		return
	}
	r.deliveredTokens = min(r.deliveredTokens+e.Tokens, maxTokens)
	c.observeGap(r, e)
}

func (c *Core) applyCompletion(e *Completion) {
	i, ok := c.runningAttempt(e.ID, e.Attempt)
	if !ok {
		c.markUnknownEnded(e.ID)
		return
	}
	c.stopRunning(i)
	c.observeCompletion(&c.requests[i], e)
	c.stats.Completed++
	c.close(i)
}

// markUnknownEnded remembers a request that ended before its ticket arrived,
// so that the late ticket does not run it again.
func (c *Core) markUnknownEnded(id RequestID) {
	if _, ok := c.byID[id]; !ok {
		c.rememberEnded(id, markEnded)
	}
}

func (c *Core) applyWithdrawal(id RequestID) {
	i, ok := c.byID[id]
	switch {
	case !ok:
		c.rememberEnded(id, markEnded)
		return
	case i < 0:
		c.stats.StaleEvents++
		return
	}
	c.stats.Withdrawn++
	c.removeFromLists(i)
	c.close(i)
}

// removeFromLists takes a request out of its queue or the running requests.
func (c *Core) removeFromLists(i int32) {
	switch c.requests[i].state {
	case stateRunning:
		c.stopRunning(i)
	case stateWaiting:
		c.dequeue(i)
	}
}

// Bounds of values received from outside.
const (
	maxTokens = 1 << 24
	maxWaited = 24 * time.Hour
	// maxMeasuredTime bounds a reported time to the first token or between
	// tokens.
	maxMeasuredTime = time.Minute
)

func (c *Core) applyTicket(t *Ticket, out *Output) {
	if i, ok := c.byID[t.ID]; ok && !c.reopensReferred(i, t) {
		c.applyDuplicateTicket(i, t)
		return
	}
	if t.ID == (RequestID{}) {
		c.stats.StaleEvents++
		return
	}
	c.stats.Tickets++
	i := c.newRequest()
	c.byID[t.ID] = i
	r := &c.requests[i]
	c.initRequest(r, t)
	cl, ok := c.classIndex[t.Class]
	if !ok || c.classes[cl].removed {
		c.refuse(i, outcome.UnknownClass, out)
		return
	}
	r.class = cl
	r.organisation = c.organisationIndexOf(t.Organisation)
	r.queue = queueIndexOf(r.organisation)
	if r.deliveredTokens > 0 || c.reservations.take(requestFingerprint(r), c.now) {
		r.queue = resumeQueue
	}
	c.classes[cl].arrivals.add(c.now, 1)
	if t.Server != "" {
		c.applyClaim(i)
		return
	}
	if r.mayHaveStarted && !t.Idempotent {
		c.refuse(i, outcome.SchedulerLost, out)
		return
	}
	c.setLatestStart(r)
	if r.deadline <= c.now {
		c.refuse(i, outcome.DeadlinePassed, out)
		return
	}
	c.enqueue(i)
	c.newlyQueued = append(c.newlyQueued, i)
}

// reopensReferred reports whether a ticket brings back a request that this
// core had referred.
func (c *Core) reopensReferred(i int32, t *Ticket) bool { return i == markReferred && t.Referred }

func (c *Core) initRequest(r *request, t *Ticket) {
	*r = request{ticket: *t, class: noIndex, server: noIndex, lastFailedServer: noIndex, attempt: t.Attempt}
	r.ticket.PromptTokens = clampTokens(t.PromptTokens)
	r.ticket.MaxTokens = clampTokens(t.MaxTokens)
	r.ticket.PrefixTokens = clampTokens(t.PrefixTokens)
	r.deliveredTokens = clampTokens(t.Delivered)
	r.mayHaveStarted = r.deliveredTokens > 0 || t.Attempt > 0 || t.Server != ""
	r.arrivedAt = c.now - min(max(t.Waited, 0), maxWaited)
	r.queuedAt = c.now
	r.deadline = farFuture
	if t.Deadline > 0 && t.Deadline < farFuture-c.now {
		r.deadline = c.now + t.Deadline
	}
}

func clampTokens(n int) int { return min(max(n, 0), maxTokens) }

// applyClaim gives a slot to a request that already runs.
func (c *Core) applyClaim(i int32) {
	r := &c.requests[i]
	r.mayHaveStarted = true
	c.startRunning(i, c.serverIndexOf(r.ticket.Server))
	c.requests[i].claimed = true
}

// applyDuplicateTicket handles another ticket of a known request. If the request
// waits here but the ticket claims a later attempt, another scheduler has granted
// that attempt, and the request is moved to the running requests.
func (c *Core) applyDuplicateTicket(i int32, t *Ticket) {
	if i < 0 {
		c.stats.StaleEvents++
		return
	}
	r := &c.requests[i]
	switch {
	case t.Server == "":
		c.stats.StaleEvents++
	case r.state == stateRunning && r.attempt == t.Attempt:
		r.lastEventAt = c.now
	case r.state == stateWaiting && t.Attempt > r.attempt:
		c.dequeue(i)
		r.ticket.Server = t.Server
		r.attempt = t.Attempt
		c.applyClaim(i)
	default:
		c.stats.StaleEvents++
	}
}

// addClamped adds durations and returns farFuture instead of overflowing. The
// first argument is negative if it is a time before the core started.
func addClamped(a, b time.Duration) time.Duration {
	if a > 0 && b > farFuture-a {
		return farFuture
	}
	return a + b
}
