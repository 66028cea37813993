package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// maxCandidates bounds the candidates of one record.
const maxCandidates = 64

// Candidate is a backend server that had a free slot for a request.
type Candidate struct {
	Server string
	// Score is the expected time to the first token and a part of the time
	// between tokens, in seconds. The least wins.
	Score float64
}

// ExplainRecord explains one decision.
type ExplainRecord struct {
	At           time.Duration
	ID           RequestID
	Class        string
	Organisation string
	// Waited is the time in the queue, Slack what was left of it.
	Waited time.Duration
	Slack  time.Duration
	// Expected is the wait that was expected at a refusal.
	Expected time.Duration
	// Candidates are the servers that stood, Omitted counts those beyond the
	// record's bound.
	Candidates []Candidate
	Omitted    int
	// Chosen is the server with the least score, empty for a refusal.
	Chosen string
	// Reason is why the request was refused, referred or preempted.
	Reason outcome.Reason
}

// explainRing holds the latest records.
type explainRing struct {
	records []ExplainRecord
	next    int
	count   int
	draft   ExplainRecord
}

func newExplainRing(size int) explainRing {
	ring := explainRing{records: make([]ExplainRecord, max(size, 0))}
	for i := range ring.records {
		ring.records[i].Candidates = make([]Candidate, 0, maxCandidates)
	}
	return ring
}

func (e *explainRing) off() bool { return len(e.records) == 0 }

// begin starts a record of a placement.
func (e *explainRing) begin(r *request, now time.Duration) {
	if e.off() {
		return
	}
	candidates := e.draft.Candidates[:0]
	e.draft = draftOf(r, now)
	e.draft.Candidates = candidates
}

func draftOf(r *request, now time.Duration) ExplainRecord {
	return ExplainRecord{
		At:           now,
		ID:           r.ticket.ID,
		Class:        r.ticket.Class,
		Organisation: r.ticket.Organisation,
		Waited:       now - r.queued,
		Slack:        r.startBy - now,
	}
}

func (e *explainRing) candidate(server string, score float64) {
	if e.off() {
		return
	}
	if len(e.draft.Candidates) == maxCandidates {
		e.draft.Omitted++
		return
	}
	e.draft.Candidates = append(e.draft.Candidates, Candidate{Server: server, Score: score})
}

// chosen ends the record of a placement.
func (e *explainRing) chosen(server string) {
	if e.off() {
		return
	}
	e.draft.Chosen = server
	e.keep(e.draft)
}

func (e *explainRing) keep(r ExplainRecord) {
	slot := &e.records[e.next]
	candidates := append(slot.Candidates[:0], r.Candidates...)
	*slot = r
	slot.Candidates = candidates
	e.next = (e.next + 1) % len(e.records)
	e.count = min(e.count+1, len(e.records))
}

func (c *Core) explainRefusal(r *request, reason outcome.Reason) {
	if c.explain.off() {
		return
	}
	record := draftOf(r, c.now)
	record.Reason = reason
	record.Expected = r.expected
	c.explain.keep(record)
}

// ExplainRecords returns copies of the kept explain records, the oldest first.
func (c *Core) ExplainRecords() []ExplainRecord {
	e := &c.explain
	all := make([]ExplainRecord, 0, e.count)
	for k := range e.count {
		r := e.records[(e.next-e.count+k+len(e.records))%len(e.records)]
		r.Candidates = append([]Candidate(nil), r.Candidates...)
		all = append(all, r)
	}
	return all
}
