package scheduler

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// keepaliveBudget bounds the keepalive calls that an instance makes per
	// second, summed over all schedulers at which its tickets wait.
	keepaliveBudget = 100
	// runningKeepaliveInterval is the time between two calls to a scheduler at
	// which requests run but none waits.
	runningKeepaliveInterval = time.Second
	// maxResponseTimeout bounds the response timeout, unless AnswerTimeout is
	// longer. The value suits calls within a data centre, but calls to other
	// data centres have the same bound.
	maxResponseTimeout = 150 * time.Millisecond
	// responseTimeFactor is the multiple of the mean response time that is added
	// to AnswerTimeout to get the response timeout.
	responseTimeFactor = 4
	// minSkipTime and maxSkipTime bound how long a scheduler is skipped after a
	// failover before it is called again. If that call fails too, the scheduler
	// is called again every minSkipTime.
	minSkipTime = time.Second
	maxSkipTime = 30 * time.Second
	// skipTimeResetAfter is the time between two failovers from a scheduler
	// after which the skip time of the second one is minSkipTime again.
	skipTimeResetAfter = time.Minute
	// responsesBeforeResubmit is the number of consecutive responses that must
	// count fewer sessions than were submitted before the sessions are submitted
	// again.
	responsesBeforeResubmit = 2
)

// destination holds what this instance knows of another instance that can
// schedule its requests, and the messages to send to it. Its fields are guarded
// by the owner's mutex.
type destination struct {
	owner   *Remote
	to      netip.AddrPort
	wake    chan struct{}
	stopped chan struct{}

	sessions      map[schedcore.RequestID]*remoteSession
	waiting       int              // sessions whose request waits for a grant
	unsent        []*remoteSession // sessions to submit with the next message
	reports       reportBatch
	urgentSince   time.Time // when the oldest pending message that must not wait for ReportInterval was added; zero if none
	firstReportAt time.Time // when the oldest unsent report was added; zero if none

	processNonce        uint64    // from the last response; 0 before the first response and after a recovery
	lastCallStart       time.Time // start of the last call that got a response
	meanResponseTime    time.Duration
	incompleteResponses int // consecutive responses that counted too few sessions

	skipped        bool
	skipTime       time.Duration
	nextCallAt     time.Time
	lastFailoverAt time.Time
}

func newDestination(r *Remote, to netip.AddrPort) *destination {
	return &destination{
		owner:         r,
		to:            to,
		wake:          make(chan struct{}, 1),
		stopped:       make(chan struct{}),
		sessions:      make(map[schedcore.RequestID]*remoteSession),
		lastCallStart: time.Now(),
	}
}

func (d *destination) stop() { close(d.stopped) }

func (d *destination) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// sendNow makes the pending messages due after BatchInterval, which is shorter
// than ReportInterval by default. The caller holds mu.
func (d *destination) sendNow() {
	if d.urgentSince.IsZero() {
		d.urgentSince = time.Now()
	}
	d.signal()
}

func (d *destination) add(s *remoteSession) {
	d.sessions[s.ticket.ID] = s
	if !s.running {
		d.waiting++
	}
	d.unsent = append(d.unsent, s)
	d.sendNow()
}

func (d *destination) remove(s *remoteSession) {
	delete(d.sessions, s.ticket.ID)
	if !s.running {
		d.waiting--
	}
}

// updateWaiting adjusts the number of waiting sessions after a session started
// to run, or stopped running and waits again.
func (d *destination) updateWaiting(running bool) {
	if running {
		d.waiting--
		return
	}
	d.waiting++
	d.signal()
}

// run sends pending messages and keepalives until the destination is stopped.
func (d *destination) run() {
	r := d.owner
	for {
		r.mu.Lock()
		wait := d.untilNextSend()
		r.mu.Unlock()
		if !d.waitToSend(wait) {
			return
		}
		d.sendPending()
	}
}

// untilNextSend returns the time until the next message is due. The caller
// holds mu.
func (d *destination) untilNextSend() time.Duration {
	now := time.Now()
	if d.skipped {
		return max(d.nextCallAt.Sub(now), 0)
	}
	if !d.urgentSince.IsZero() {
		return max(d.urgentSince.Add(d.owner.opts.BatchInterval).Sub(now), 0)
	}
	due := time.Hour
	if !d.firstReportAt.IsZero() {
		due = d.firstReportAt.Add(d.owner.opts.ReportInterval).Sub(now)
	}
	switch {
	case d.waiting > 0:
		due = min(due, d.lastCallStart.Add(d.owner.keepaliveInterval()).Sub(now))
	case len(d.sessions) > 0:
		due = min(due, d.lastCallStart.Add(runningKeepaliveInterval).Sub(now))
	}
	return max(due, 0)
}

// keepaliveInterval returns the time between two keepalives to one scheduler.
// It grows with the number of schedulers at which tickets wait, so that the
// calls stay within keepaliveBudget. The caller holds mu.
func (r *Remote) keepaliveInterval() time.Duration {
	n := 0
	for _, d := range r.destinations {
		if d.waiting > 0 && !d.skipped {
			n++
		}
	}
	return max(r.opts.KeepaliveInterval, time.Duration(n)*time.Second/keepaliveBudget)
}

// waitToSend waits until the next message is due. It starts with the given wait
// and computes the remaining time again at each signal. It reports false once
// the destination is stopped.
func (d *destination) waitToSend(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-d.wake:
			d.owner.mu.Lock()
			timer.Reset(d.untilNextSend())
			d.owner.mu.Unlock()
		case <-d.stopped:
			return false
		case <-d.owner.ctx.Done():
			return false
		}
	}
}

// takePending returns the messages to send now. Reports are held back while any
// ticket is unsent, since a report may be about such a ticket. The caller holds
// mu.
func (d *destination) takePending() (ticketBatch, reportBatch) {
	d.urgentSince = time.Time{}
	tickets := ticketBatch{ProcessNonce: d.owner.processNonce}
	n := min(len(d.unsent), maxTicketsPerMessage)
	for _, s := range d.unsent[:n] {
		if d.sessions[s.ticket.ID] == s {
			tickets.Tickets = append(tickets.Tickets, submission{Epoch: s.epoch, Ticket: s.currentTicket()})
		}
	}
	d.unsent = slices.Delete(d.unsent, 0, n)
	if len(tickets.Tickets) > 0 {
		tickets.AckedDecisions, d.reports.AckedDecisions = d.reports.AckedDecisions, nil
	}
	if len(d.unsent) > 0 {
		d.sendNow()
		return tickets, reportBatch{}
	}
	reports := d.reports
	reports.ProcessNonce = d.owner.processNonce
	d.reports = reportBatch{}
	d.firstReportAt = time.Time{}
	return tickets, reports
}

func (d *destination) sendPending() {
	r := d.owner
	r.mu.Lock()
	tickets, reports := d.takePending()
	timeout := d.responseTimeout()
	r.mu.Unlock()

	start := time.Now()
	var response hostResponse
	var err error
	if len(tickets.Tickets) > 0 || reports.size() == 0 {
		response, err = callWithRetry[ticketBatch, hostResponse](r.ctx, r, d.to, peer.KindTickets, tickets, timeout)
	}
	decisions := response.Decisions
	for _, batch := range reports.split() {
		if err == nil {
			response, err = callWithRetry[reportBatch, hostResponse](r.ctx, r, d.to, peer.KindReports, batch, timeout)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	if err != nil {
		d.failOver()
		return
	}
	response.Decisions = decisions
	d.handleResponse(response, tickets, start)
}

// responseTimeout returns how long to wait for a response before the scheduler
// counts as failed. The caller holds mu.
func (d *destination) responseTimeout() time.Duration {
	base := d.owner.opts.AnswerTimeout
	return min(base+responseTimeFactor*d.meanResponseTime, max(base, maxResponseTimeout))
}

// handleResponse processes a response. If the scheduler restarted, or if its
// count of hosted sessions shows that it lost some, sessions are submitted
// again. The caller holds mu.
func (d *destination) handleResponse(response hostResponse, justSent ticketBatch, start time.Time) {
	d.lastCallStart = start
	const smoothingFactor = 8
	d.meanResponseTime += (time.Since(start) - d.meanResponseTime) / smoothingFactor
	if d.skipped {
		d.markRecovered()
		return
	}
	if d.processNonce != 0 && d.processNonce != response.ProcessNonce {
		d.resubmit(justSent)
	}
	d.processNonce = response.ProcessNonce
	d.takeDecisions(response.Decisions)
	if response.HostedSessions >= len(d.sessions) || len(d.unsent) > 0 {
		d.incompleteResponses = 0
		return
	}
	d.incompleteResponses++
	if d.incompleteResponses >= responsesBeforeResubmit {
		d.incompleteResponses = 0
		d.resubmit(ticketBatch{})
	}
}

// resubmit submits again all sessions that were not just sent, because the
// scheduler lost them. Each session gets a new epoch, since the scheduler's core
// may remember the earlier assignment as ended.
func (d *destination) resubmit(justSent ticketBatch) {
	for id, s := range d.sessions {
		if slices.ContainsFunc(justSent.Tickets, func(t submission) bool { return t.Ticket.ID == id }) {
			continue
		}
		d.owner.events.add(Resubmitted)
		s.epoch++
		d.unsent = append(d.unsent, s)
	}
	d.sendNow()
}

// failOver moves all sessions to the next instances in the rendezvous orders of
// their pools. If the scheduler failed before within skipTimeResetAfter, its
// skip time doubles. While the scheduler is skipped, a failed call only
// postpones the next call by minSkipTime. The caller holds mu.
func (d *destination) failOver() {
	now := time.Now()
	d.nextCallAt = now.Add(minSkipTime)
	if d.skipped {
		return
	}
	if now.Sub(d.lastFailoverAt) > skipTimeResetAfter {
		d.skipTime = 0
	}
	d.skipTime = min(max(2*d.skipTime, minSkipTime), maxSkipTime)
	d.nextCallAt = now.Add(d.skipTime)
	d.lastFailoverAt = now
	d.skipped = true
	d.owner.events.add(FailedOver)
	d.owner.opts.Log.Warn("call to the scheduler failed; moving its sessions to other instances", "address", d.to)
	d.unsent = nil
	d.reports = reportBatch{ProcessNonce: d.owner.processNonce, Completions: d.reports.Completions, Withdrawals: d.reports.Withdrawals}
	d.owner.reroute()
	d.firstReportAt = time.Time{}
	d.urgentSince = time.Time{}
	d.sendEndedNow(d.reports)
}

// sendEndedNow sends completions and withdrawals without waiting for a
// response, so that a scheduler that is alive after all gives the slots back at
// once. The same reports are sent again when the scheduler is called next. The
// caller holds mu.
func (d *destination) sendEndedNow(reports reportBatch) {
	r := d.owner
	for _, batch := range reports.split() {
		r.startLocked(func() {
			ctx, cancel := context.WithTimeout(r.ctx, minSkipTime)
			defer cancel()
			_, _ = peer.Call[reportBatch, hostResponse](ctx, r.opts.Transport, d.to, peer.KindReports, batch)
		})
	}
}

// markRecovered makes the instance available as a scheduler again. The caller
// holds mu.
func (d *destination) markRecovered() {
	d.skipped = false
	d.processNonce = 0
	d.owner.events.add(Recovered)
	d.owner.opts.Log.Info("scheduler responds again; routing requests to it", "address", d.to)
	d.owner.reroute()
}

// endSkip makes the next call to a skipped instance due at once, because the
// instance was restarted. The caller holds mu.
func (d *destination) endSkip() {
	d.skipTime = 0
	d.nextCallAt = time.Time{}
	d.signal()
}
