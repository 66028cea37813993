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
	// keepaliveBudget bounds the keepalives that an instance sends per second to
	// all schedulers at which its tickets wait.
	keepaliveBudget = 100
	// runningKeepaliveInterval is the longest time between two calls to a
	// scheduler that has running requests of this instance but no waiting ones.
	runningKeepaliveInterval = time.Second
	// maxResponseTimeout bounds the response timeout, unless ResponseTimeout is
	// longer. The value suits calls within a data centre. Calls to other
	// data centres have the same bound.
	maxResponseTimeout = 150 * time.Millisecond
	// responseTimeFactor is multiplied by the mean response time and added to
	// ResponseTimeout to get the response timeout.
	responseTimeFactor = 4
	// minSkipTime and maxSkipTime bound the skip time: how long after a failover
	// the scheduler is not called. If the first call after the skip time fails
	// too, the scheduler is called again every minSkipTime.
	minSkipTime = time.Second
	maxSkipTime = 30 * time.Second
	// skipTimeResetAfter bounds the time between two failovers from the same
	// scheduler for which the skip time doubles. If more time passes, the skip
	// time starts at minSkipTime again.
	skipTimeResetAfter = time.Minute
	// responsesBeforeResubmit is a number of consecutive responses. If each of
	// them counts fewer sessions than were submitted, the scheduler has lost
	// sessions and all are submitted again.
	responsesBeforeResubmit = 2
)

// destination is another instance that can schedule requests of this instance.
// It holds the sessions assigned there and the messages to send. Its fields are
// guarded by the owner's mutex.
type destination struct {
	owner   *Remote
	to      netip.AddrPort
	wake    chan struct{}
	stopped chan struct{}

	sessions      map[schedcore.RequestID]*remoteSession
	waiting       int              // sessions whose request waits for a grant
	unsent        []*remoteSession // sessions to submit with the next message
	reports       reportBatch
	urgentSince   time.Time // when sendNow was first called for the pending messages; zero if it was not called
	firstReportAt time.Time // when sendLater was first called for the pending reports; zero if it was not called

	processNonce        uint64    // from the last response; 0 before the first response and after a recovery
	lastCallStart       time.Time // start of the last call that got a response, or the creation of the destination
	meanResponseTime    time.Duration
	incompleteResponses int // consecutive responses that counted too few sessions

	skipped        bool          // no session is assigned here, because a call failed
	skipTime       time.Duration // the pause that followed the last failover
	nextCallAt     time.Time     // earliest time of the next call; has an effect only if skipped is true
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

// signal makes waitToSend compute again when the next message is due.
func (d *destination) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// sendNow makes the pending messages due after BatchInterval. By default this is
// much shorter than ReportInterval. The caller holds mu.
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

// updateWaiting adjusts the number of waiting sessions. If running is true, a
// session has started to run. If it is false, a running session waits again.
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

// keepaliveInterval returns the time between two keepalives to a scheduler. The
// interval grows with the number of schedulers at which tickets wait, so that
// all keepalives stay within keepaliveBudget. The caller holds mu.
func (r *Remote) keepaliveInterval() time.Duration {
	n := 0
	for _, d := range r.destinations {
		if d.waiting > 0 && !d.skipped {
			n++
		}
	}
	return max(r.opts.KeepaliveInterval, time.Duration(n)*time.Second/keepaliveBudget)
}

// waitToSend waits for the given time and reports true. At each signal it
// computes again how long to wait. It reports false if the destination is stopped
// or the Remote is closed.
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

// takePending returns the messages to send now. If they leave out a ticket, they
// also leave out all reports, since a report may be about that ticket. The caller
// holds mu.
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

// sendPending sends the pending messages, or a keepalive if there are none, and
// handles the response. If a call fails, it fails over.
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
			response, err = callWithRetry[reportBatch, hostResponse](r.ctx, r, d.to, peer.KindCompletions, batch, timeout)
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

// responseTimeout returns how long to wait for a response. If no response arrives
// in this time, the sessions fail over. The caller holds mu.
func (d *destination) responseTimeout() time.Duration {
	base := d.owner.opts.ResponseTimeout
	return min(base+responseTimeFactor*d.meanResponseTime, max(base, maxResponseTimeout))
}

// handleResponse processes a response. If the response shows that the scheduler
// restarted or lost sessions, handleResponse submits sessions again. The caller
// holds mu.
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

// resubmit submits again the sessions that the scheduler lost: all sessions
// except those in justSent. Each submitted session gets a new epoch, since the
// scheduler's core may remember the earlier assignment as ended.
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

// failOver handles a failed call. If the scheduler is not skipped yet, failOver
// moves each session to the next instance in the rendezvous order of its pool,
// and skips the scheduler for the skip time. The skip time doubles if the last
// failover was at most skipTimeResetAfter ago. If the scheduler is skipped
// already, failOver only sets the next call to minSkipTime from now. The caller
// holds mu.
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

// sendEndedNow sends completions and withdrawals after a failed call, without
// waiting for a response. If the scheduler still works, it frees the slots at
// once. The same reports are sent again with the next call. The caller holds mu.
func (d *destination) sendEndedNow(reports reportBatch) {
	r := d.owner
	for _, batch := range reports.split() {
		r.startLocked(func() {
			ctx, cancel := context.WithTimeout(r.ctx, minSkipTime)
			defer cancel()
			_, _ = peer.Call[reportBatch, hostResponse](ctx, r.opts.Transport, d.to, peer.KindCompletions, batch)
		})
	}
}

// markRecovered ends the skipping of a scheduler that responded again, and moves
// sessions back to it. The caller holds mu.
func (d *destination) markRecovered() {
	d.skipped = false
	d.processNonce = 0
	d.owner.events.add(Recovered)
	d.owner.opts.Log.Info("scheduler responds again; routing requests to it", "address", d.to)
	d.owner.reroute()
}

// endSkip ends the skip time of an instance that was restarted, so that the next
// call to the instance is due at once. The caller holds mu.
func (d *destination) endSkip() {
	d.skipTime = 0
	d.nextCallAt = time.Time{}
	d.signal()
}
