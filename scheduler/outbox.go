package scheduler

import "time"

// sendLater makes the pending reports due after ReportInterval, counted from the
// oldest pending report. The caller holds mu.
func (d *destination) sendLater() {
	if d.firstReportAt.IsZero() {
		d.firstReportAt = time.Now()
		d.signal()
	}
}

func (d *destination) reportFirstToken(f firstTokenReport) {
	d.reports.FirstTokens = append(d.reports.FirstTokens, f)
	d.sendLater()
}

// reportProgress queues a progress report. If a report on the same attempt is
// still unsent, the two reports are merged: their tokens are added up, and their
// gaps are averaged with the tokens as weights.
func (d *destination) reportProgress(p progressReport) {
	for i := range d.reports.Progress {
		pending := &d.reports.Progress[i]
		if pending.Session != p.Session || pending.Attempt != p.Attempt {
			continue
		}
		sum := pending.Gap*time.Duration(pending.Tokens) + p.Gap*time.Duration(p.Tokens)
		pending.Tokens += p.Tokens
		pending.Gap = sum / time.Duration(max(pending.Tokens, 1))
		return
	}
	d.reports.Progress = append(d.reports.Progress, p)
	d.sendLater()
}

func (d *destination) reportFailure(f failureReport) {
	d.reports.Failures = append(d.reports.Failures, f)
	d.sendNow()
}

func (d *destination) reportCompletion(e completionReport) {
	d.reports.Completions = append(d.reports.Completions, e)
	d.sendNow()
}

// takeDecisions accepts the decisions in a response and queues their
// acknowledgements. If a decision is about a session that is not assigned to this
// scheduler, takeDecisions queues a withdrawal, so that the scheduler frees the
// slot.
func (d *destination) takeDecisions(decisions []wireDecision) {
	for _, wire := range decisions {
		d.reports.AckedDecisions = append(d.reports.AckedDecisions, wire.Number)
		s := d.owner.sessionAt(d.to, wire.Session)
		if s != nil {
			s.accept(wire.toDecision())
			continue
		}
		d.owner.events.add(Superseded)
		d.reports.Withdrawals = append(d.reports.Withdrawals, wire.Session)
	}
	if len(decisions) > 0 {
		d.sendLater()
	}
}

// split divides the batch into messages of at most maxReportsPerMessage
// entries.
func (b reportBatch) split() []reportBatch {
	var out []reportBatch
	for b.size() > 0 {
		message := reportBatch{ProcessNonce: b.ProcessNonce}
		remaining := maxReportsPerMessage
		message.FirstTokens, b.FirstTokens = takeFirst(b.FirstTokens, &remaining)
		message.Progress, b.Progress = takeFirst(b.Progress, &remaining)
		message.Failures, b.Failures = takeFirst(b.Failures, &remaining)
		message.Completions, b.Completions = takeFirst(b.Completions, &remaining)
		message.Withdrawals, b.Withdrawals = takeFirst(b.Withdrawals, &remaining)
		message.AckedDecisions, b.AckedDecisions = takeFirst(b.AckedDecisions, &remaining)
		out = append(out, message)
	}
	return out
}

// takeFirst splits off as many elements as remaining allows, and subtracts their
// number from remaining.
func takeFirst[T any](all []T, remaining *int) (taken, rest []T) {
	n := min(len(all), *remaining)
	*remaining -= n
	return all[:n], all[n:]
}
