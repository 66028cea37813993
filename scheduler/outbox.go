package scheduler

import "time"

// lazily notes that reports wait for the report interval.
func (d *destination) lazily() {
	if d.since.IsZero() {
		d.since = time.Now()
		d.signal()
	}
}

func (d *destination) firstToken(f firstTokenReport) {
	d.reports.FirstTokens = append(d.reports.FirstTokens, f)
	d.lazily()
}

// progress adds up the reports of one attempt.
func (d *destination) progress(p progressReport) {
	for i := range d.reports.Progress {
		q := &d.reports.Progress[i]
		if q.Session != p.Session || q.Attempt != p.Attempt {
			continue
		}
		sum := q.Gap*time.Duration(q.Tokens) + p.Gap*time.Duration(p.Tokens)
		q.Tokens += p.Tokens
		q.Gap = sum / time.Duration(max(q.Tokens, 1))
		return
	}
	d.reports.Progress = append(d.reports.Progress, p)
	d.lazily()
}

func (d *destination) fail(f failureReport) {
	d.reports.Failures = append(d.reports.Failures, f)
	d.hurry()
}

func (d *destination) end(e endReport) {
	d.reports.Ends = append(d.reports.Ends, e)
	d.hurry()
}

// takeVerdicts accepts the verdicts of an answer. They are acknowledged with
// the next message.
func (d *destination) takeVerdicts(verdicts []wireVerdict) {
	for _, w := range verdicts {
		d.reports.Taken = append(d.reports.Taken, w.Number)
		s := d.owner.at(d.to, w.Session)
		if s != nil {
			s.accept(w.verdict())
			continue
		}
		d.owner.events.add(Superseded)
		d.reports.Withdrawals = append(d.reports.Withdrawals, w.Session)
	}
	if len(verdicts) > 0 {
		d.lazily()
	}
}

// split bounds the size of each message.
func (b reportBatch) split() []reportBatch {
	var out []reportBatch
	for b.size() > 0 {
		part := reportBatch{Life: b.Life}
		room := maxReports
		part.FirstTokens, b.FirstTokens = cut(b.FirstTokens, &room)
		part.Progress, b.Progress = cut(b.Progress, &room)
		part.Failures, b.Failures = cut(b.Failures, &room)
		part.Ends, b.Ends = cut(b.Ends, &room)
		part.Withdrawals, b.Withdrawals = cut(b.Withdrawals, &room)
		part.Taken, b.Taken = cut(b.Taken, &room)
		out = append(out, part)
	}
	return out
}

func cut[T any](all []T, room *int) (head, tail []T) {
	n := min(len(all), *room)
	*room -= n
	return all[:n], all[n:]
}
