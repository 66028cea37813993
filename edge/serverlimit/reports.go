package serverlimit

import (
	"math"
	"time"
)

const (
	// maxReports bounds the reports in one datagram.
	maxReports = 16
	// reportMargin is how much newer another instance's word must be than what is known if it
	// raises or ends a limit: its age leaves out the time that the datagram took.
	reportMargin = 250 * time.Millisecond
	// noLimit is the value of Report.MilliPerSecond if the limit has ended.
	noLimit = -1
	milli   = 1000
)

// Report is what an instance tells the others about a server's limit.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Server uint64
	// MilliPerSecond is the limit in thousandths of a request a second, or noLimit.
	MilliPerSecond int64
	// AgeMs is how long ago a response stated this, in milliseconds.
	AgeMs int64
}

// Reports returns the reports for the next datagrams, and takes in the current view of the
// instances. It reports what this instance itself heard, unless another one has heard of the
// server since.
func (t *Table) Reports(now time.Time) []Report {
	t.refresh(t.options.View(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for key, s := range t.servers {
		if s.own {
			reports = append(reports, Report{Server: key, MilliPerSecond: s.limit.toMilli(), AgeMs: now.Sub(s.heardAt).Milliseconds()})
		}
	}
	// If not all fit, they are drawn, so that each server has its turn.
	t.random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	return reports[:min(len(reports), maxReports)]
}

func (l Limit) toMilli() int64 {
	if !l.Named {
		return noLimit
	}
	return int64(math.Round(l.PerSecond * milli))
}

// Receive takes in the reports of another instance.
func (t *Table) Receive(reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReports)] {
		t.receive(report, now)
	}
}

func (t *Table) receive(r Report, now time.Time) {
	const maxAge = int64(24 * time.Hour / time.Millisecond)
	stated := limitOfMilli(r.MilliPerSecond)
	heardAt := now.Add(-time.Duration(min(max(r.AgeMs, 0), maxAge)) * time.Millisecond)
	s := t.serverFor(r.Server, stated)
	if s == nil {
		return
	}
	margin := time.Duration(0)
	if s.limit.isBelow(stated) {
		margin = reportMargin
	}
	if heardAt.After(s.heardAt.Add(margin)) {
		t.adopt(r.Server, s, stated, heardAt, now)
		s.own = false
	}
}
