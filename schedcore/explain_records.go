package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// maxCandidates limits the candidates in one record.
const maxCandidates = 64

// Candidate is a backend server that had a free slot for a request.
type Candidate struct {
	Server string
	// Score is the expected time to the first token in seconds, plus a term that
	// grows with the time between tokens and the load. The server with the lowest
	// score is chosen.
	Score float64
}

// ExplainRecord explains one decision.
type ExplainRecord struct {
	At           time.Duration
	ID           RequestID
	Class        string
	Organisation string
	// Waited is the time since the request was last queued. Slack is the time
	// left until the request's latest start.
	Waited time.Duration
	Slack  time.Duration
	// ExpectedWait is the expected further wait of a request that was refused
	// or referred.
	ExpectedWait time.Duration
	// Candidates are the servers that were considered. Omitted counts the
	// candidates beyond the record's limit.
	Candidates []Candidate
	Omitted    int
	// Chosen is the server with the lowest score. It is empty if the request
	// was refused, referred or preempted.
	Chosen string
	// Reason is why the request was refused, referred or preempted.
	Reason outcome.Reason
}

// explainRing is a ring buffer of the latest records.
type explainRing struct {
	records []ExplainRecord
	next    int // index at which the next record is stored
	count   int
	draft   ExplainRecord // record of the server choice in progress
}

func newExplainRing(size int) explainRing {
	ring := explainRing{records: make([]ExplainRecord, max(size, 0))}
	for i := range ring.records {
		ring.records[i].Candidates = make([]Candidate, 0, maxCandidates)
	}
	return ring
}

func (e *explainRing) disabled() bool { return len(e.records) == 0 }

// startDraft starts the record of a server choice.
func (e *explainRing) startDraft(r *request, now time.Duration) {
	if e.disabled() {
		return
	}
	candidates := e.draft.Candidates[:0]
	e.draft = newDraft(r, now)
	e.draft.Candidates = candidates
}

func newDraft(r *request, now time.Duration) ExplainRecord {
	return ExplainRecord{
		At:           now,
		ID:           r.ticket.ID,
		Class:        r.ticket.Class,
		Organisation: r.ticket.Organisation,
		Waited:       now - r.queuedAt,
		Slack:        r.latestStart - now,
	}
}

func (e *explainRing) addCandidate(server string, score float64) {
	if e.disabled() {
		return
	}
	if len(e.draft.Candidates) == maxCandidates {
		e.draft.Omitted++
		return
	}
	e.draft.Candidates = append(e.draft.Candidates, Candidate{Server: server, Score: score})
}

// storeChoice completes the record of a server choice and stores it.
func (e *explainRing) storeChoice(server string) {
	if e.disabled() {
		return
	}
	e.draft.Chosen = server
	e.store(e.draft)
}

func (e *explainRing) store(r ExplainRecord) {
	slot := &e.records[e.next]
	candidates := append(slot.Candidates[:0], r.Candidates...)
	*slot = r
	slot.Candidates = candidates
	e.next = (e.next + 1) % len(e.records)
	e.count = min(e.count+1, len(e.records))
}

// explainReason stores a record of why a request was refused, referred or
// preempted.
func (c *Core) explainReason(r *request, reason outcome.Reason) {
	if c.explain.disabled() {
		return
	}
	record := newDraft(r, c.now)
	record.Reason = reason
	record.ExpectedWait = r.expectedWait
	c.explain.store(record)
}

// ExplainRecords returns copies of the stored explain records, oldest first.
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
