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
	// pulseBudget bounds the signs of life that an instance asks for in a
	// second, over all schedulers at which its tickets wait.
	pulseBudget = 100
	// idlePulse is the time between two signs of life of a scheduler at which
	// nothing waits but something runs.
	idlePulse = time.Second
	// maxAnswerLimit bounds the wait for an answer within a data centre.
	maxAnswerLimit = 150 * time.Millisecond
	// usualFactor times the usual time to answer is added to the limit.
	usualFactor = 4
	// minHold and maxHold bound the time for which a scheduler is passed over
	// before it is asked again. It is asked each minHold from then on.
	minHold = time.Second
	maxHold = 30 * time.Second
	// calm is the time without silence after which the hold starts anew.
	calm = time.Minute
	// lostAnswers is how many answers in a row must miss sessions before they
	// are sent again.
	lostAnswers = 2
)

// destination is the tie to another instance as a scheduler. Its fields are
// guarded by the owner's mutex.
type destination struct {
	owner   *Remote
	to      netip.AddrPort
	wake    chan struct{}
	stopped chan struct{}

	sessions map[schedcore.RequestID]*remoteSession
	waiting  int
	unsent   []*remoteSession
	reports  reportBatch
	urgent   time.Time // since when something is pending that cannot wait
	since    time.Time // of the oldest unsent report

	life  uint64
	asked time.Time // start of the last question that was answered
	usual time.Duration
	lost  int // answers in a row that missed sessions

	passedOver bool
	hold       time.Duration
	notBefore  time.Time
	silentAt   time.Time
}

func newDestination(r *Remote, to netip.AddrPort) *destination {
	return &destination{
		owner:    r,
		to:       to,
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		sessions: make(map[schedcore.RequestID]*remoteSession),
		asked:    time.Now(),
	}
}

func (d *destination) stop() { close(d.stopped) }

func (d *destination) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// hurry has pending messages sent after the batch interval.
func (d *destination) hurry() {
	if d.urgent.IsZero() {
		d.urgent = time.Now()
	}
	d.signal()
}

func (d *destination) add(s *remoteSession) {
	d.sessions[s.ticket.ID] = s
	if !s.running {
		d.waiting++
	}
	d.unsent = append(d.unsent, s)
	d.hurry()
}

func (d *destination) remove(s *remoteSession) {
	delete(d.sessions, s.ticket.ID)
	if !s.running {
		d.waiting--
	}
}

func (d *destination) countWaiting(running bool) {
	if running {
		d.waiting--
		return
	}
	d.waiting++
	d.signal()
}

// run sends what is pending and asks for signs of life.
func (d *destination) run() {
	r := d.owner
	for {
		r.mu.Lock()
		wait := d.nextSend()
		r.mu.Unlock()
		if !d.sleep(wait) {
			return
		}
		d.send()
	}
}

// nextSend returns the time until something is due. The caller holds mu.
func (d *destination) nextSend() time.Duration {
	now := time.Now()
	if d.passedOver {
		return max(d.notBefore.Sub(now), 0)
	}
	if !d.urgent.IsZero() {
		return max(d.urgent.Add(d.owner.opts.BatchInterval).Sub(now), 0)
	}
	due := time.Hour
	if !d.since.IsZero() {
		due = d.since.Add(d.owner.opts.ReportInterval).Sub(now)
	}
	switch {
	case d.waiting > 0:
		due = min(due, d.asked.Add(d.owner.pulseInterval()).Sub(now))
	case len(d.sessions) > 0:
		due = min(due, d.asked.Add(idlePulse).Sub(now))
	}
	return max(due, 0)
}

// pulseInterval stretches with the number of schedulers at which tickets wait.
func (r *Remote) pulseInterval() time.Duration {
	n := 0
	for _, d := range r.destinations {
		if d.waiting > 0 && !d.passedOver {
			n++
		}
	}
	return max(r.opts.KeepaliveInterval, time.Duration(n)*time.Second/pulseBudget)
}

// sleep waits for d's time. Something new shortens it to the batch interval.
func (d *destination) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-d.wake:
			d.owner.mu.Lock()
			timer.Reset(d.nextSend())
			d.owner.mu.Unlock()
		case <-d.stopped:
			return false
		case <-d.owner.ctx.Done():
			return false
		}
	}
}

// take returns the pending messages. Reports follow the tickets that they may
// be about.
func (d *destination) take() (ticketBatch, reportBatch) {
	d.urgent = time.Time{}
	tickets := ticketBatch{Life: d.owner.life}
	n := min(len(d.unsent), maxTickets)
	for _, s := range d.unsent[:n] {
		if d.sessions[s.ticket.ID] == s {
			tickets.Tickets = append(tickets.Tickets, submission{Epoch: s.epoch, Ticket: s.current()})
		}
	}
	d.unsent = slices.Delete(d.unsent, 0, n)
	if len(tickets.Tickets) > 0 {
		tickets.Taken, d.reports.Taken = d.reports.Taken, nil
	}
	if len(d.unsent) > 0 {
		d.hurry()
		return tickets, reportBatch{}
	}
	reports := d.reports
	reports.Life = d.owner.life
	d.reports = reportBatch{}
	d.since = time.Time{}
	return tickets, reports
}

func (d *destination) send() {
	r := d.owner
	r.mu.Lock()
	tickets, reports := d.take()
	limit := d.limit()
	r.mu.Unlock()

	start := time.Now()
	var answer hostAnswer
	var err error
	if len(tickets.Tickets) > 0 || reports.size() == 0 {
		answer, err = ask[ticketBatch, hostAnswer](r.ctx, r, d.to, peer.KindTickets, tickets, limit)
	}
	verdicts := answer.Verdicts
	for _, part := range reports.split() {
		if err == nil {
			answer, err = ask[reportBatch, hostAnswer](r.ctx, r, d.to, peer.KindReports, part, limit)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	if err != nil {
		d.passOver()
		return
	}
	answer.Verdicts = verdicts
	d.answered(answer, tickets, start)
}

// limit is the time after which no answer is taken for silence.
func (d *destination) limit() time.Duration {
	base := d.owner.opts.AnswerTimeout
	return min(base+usualFactor*d.usual, max(base, maxAnswerLimit))
}

// answered takes an answer as a sign of life and compares what the scheduler
// holds.
func (d *destination) answered(a hostAnswer, sent ticketBatch, start time.Time) {
	d.asked = start
	const weight = 8
	d.usual += (time.Since(start) - d.usual) / weight
	if d.passedOver {
		d.comeBack()
		return
	}
	if d.life != 0 && d.life != a.Life {
		d.restate(sent)
	}
	d.life = a.Life
	d.takeVerdicts(a.Verdicts)
	if a.Held >= len(d.sessions) || len(d.unsent) > 0 {
		d.lost = 0
		return
	}
	d.lost++
	if d.lost >= lostAnswers {
		d.lost = 0
		d.restate(ticketBatch{})
	}
}

// restate sends the sessions again that were not just sent: the scheduler lost
// them. Each begins a new stay, since the core may recall the earlier one as
// ended.
func (d *destination) restate(sent ticketBatch) {
	for id, s := range d.sessions {
		if slices.ContainsFunc(sent.Tickets, func(t submission) bool { return t.Ticket.ID == id }) {
			continue
		}
		d.owner.events.add(Resubmitted)
		s.epoch++
		d.unsent = append(d.unsent, s)
	}
	d.hurry()
}

// passOver moves all sessions to the next instances in their orders. An
// instance that is passed over again soon after it came back is held longer;
// one that stays silent is asked at the same interval. The caller holds mu.
func (d *destination) passOver() {
	now := time.Now()
	d.notBefore = now.Add(minHold)
	if d.passedOver {
		return
	}
	if now.Sub(d.silentAt) > calm {
		d.hold = 0
	}
	d.hold = min(max(2*d.hold, minHold), maxHold)
	d.notBefore = now.Add(d.hold)
	d.silentAt = now
	d.passedOver = true
	d.owner.events.add(FailedOver)
	d.owner.opts.Log.Warn("scheduler passed over", "address", d.to)
	d.unsent = nil
	d.reports = reportBatch{Life: d.owner.life, Ends: d.reports.Ends, Withdrawals: d.reports.Withdrawals}
	d.owner.reroute()
	d.since = time.Time{}
	d.urgent = time.Time{}
	d.part(d.reports)
}

// part sends what ended and moved without waiting for the answer, so that a
// scheduler that is alive after all gives the capacity back at once. It is sent
// again when the scheduler is asked next.
func (d *destination) part(reports reportBatch) {
	r := d.owner
	for _, part := range reports.split() {
		r.startLocked(func() {
			ctx, cancel := context.WithTimeout(r.ctx, minHold)
			defer cancel()
			_, _ = peer.Call[reportBatch, hostAnswer](ctx, r.opts.Transport, d.to, peer.KindReports, part)
		})
	}
}

// comeBack lets the instance schedule again.
func (d *destination) comeBack() {
	d.passedOver = false
	d.life = 0
	d.owner.events.add(Recovered)
	d.owner.opts.Log.Info("scheduler answers again", "address", d.to)
	d.owner.reroute()
}

// forgive ends the passing over of an instance that was restarted.
func (d *destination) forgive() {
	d.hold = 0
	d.notBefore = time.Time{}
	d.signal()
}
