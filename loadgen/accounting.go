package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotpin.example/bergamotpin/outcome"
)

// Violation names a breach of a promise to callers.
type Violation string

// The violations.
const (
	// WrongAnswer is an answer that is not whole or not the caller's own.
	WrongAnswer Violation = "wrong_answer"
	// RanTwice is a call whose idempotency key ran more than once.
	RanTwice Violation = "ran_twice"
	// RanAfterRefusal is a request that ran although its caller was told that
	// it did not.
	RanAfterRefusal Violation = "ran_after_refusal"
	// MalformedRefusal is a refusal without its code, reason or run, or whose
	// header says something else.
	MalformedRefusal Violation = "malformed_refusal"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// tally is what is known of one class.
type tally struct {
	class      *Class
	requests   int
	completed  int
	refused    int
	unknown    int
	abandoned  int
	refusals   map[string]int
	unknowns   map[string]int
	returned   int
	admitted   int
	tokens     int
	goodTokens int
	attained   int
	targets    [targetCount]targetTally
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

// targetTally counts the completed requests that met a target.
type targetTally struct{ met, of int }

func newTally(class *Class) *tally {
	return &tally{
		class:      class,
		refusals:   make(map[string]int),
		unknowns:   make(map[string]int),
		firstToken: newHistogram(),
		between:    newHistogram(),
		whole:      newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// record enters a duration, cut to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), histogramMin), histogramMax)
	if err := h.RecordValue(value); err != nil {
		panic(err) // the value is within the range
	}
}

// ledger collects the results of a run. It is safe for concurrent use.
type ledger struct {
	workload string
	start    time.Time
	keepsAll bool // for the trace

	mu         sync.Mutex
	openNow    int
	skipped    int
	repeats    int
	tallies    []*tally // in the order of the workload
	byClass    map[*Class]*tally
	violations map[Violation]int
	keys       []string   // of all service calls
	notRun     []*request // whose callers were told so at last
	trace      []TraceRecord
}

func newLedger(opts Options, start time.Time) *ledger {
	l := &ledger{
		workload:   opts.Workload.Name,
		start:      start,
		keepsAll:   opts.TraceOutput != nil,
		byClass:    make(map[*Class]*tally),
		violations: make(map[Violation]int),
	}
	for i := range opts.Workload.Classes {
		class := &opts.Workload.Classes[i]
		t := newTally(class)
		l.tallies = append(l.tallies, t)
		l.byClass[class] = t
	}
	return l
}

// open counts a request that is about to be sent. It reports false, and counts
// it as skipped, if too many are under way.
func (l *ledger) open(q *request, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openNow >= limit {
		l.skipped++
		return false
	}
	l.openNow++
	l.byClass[q.class].requests++
	if q.key != "" {
		l.keys = append(l.keys, q.key)
	}
	return true
}

// close counts a request's final outcome.
func (l *ledger) close(q *request, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openNow--
	l.byClass[q.class].add(r)
	l.breaches(r)
	if r.final == outcome.Refused && !q.repeats {
		l.notRun = append(l.notRun, q)
	}
	if l.keepsAll {
		l.trace = append(l.trace, traceOf(q, r))
	}
}

// repeated counts the second sending of a call with the same key.
func (l *ledger) repeated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats++
}

// cameBack counts a refused request that returned.
func (l *ledger) cameBack(q *request, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byClass[q.class]
	t.returned++
	if r.final != outcome.Refused {
		t.admitted++
	}
}

// breaches counts a result's violations. The caller holds the lock.
func (l *ledger) breaches(r result) {
	for _, v := range r.violations {
		l.violations[v]++
	}
}

// check asks the backend servers what they ran.
func (l *ledger) check(checks RunCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if repeated := checks.repeatedKeys(l.keys); repeated > l.violations[RanTwice] {
		l.violations[RanTwice] = repeated // those that callers saw are among them
	}
	for _, q := range l.notRun {
		if checks.ran(q) {
			l.violations[RanAfterRefusal]++
		}
	}
}

// repeatedKeys counts the keys that ran more than once.
func (c RunCounts) repeatedKeys(keys []string) (count int) {
	if c.KeyRuns == nil {
		return 0
	}
	for _, key := range keys {
		if c.KeyRuns(key) > 1 {
			count++
		}
	}
	return count
}

// ran reports whether a backend server ran the request.
func (c RunCounts) ran(q *request) bool {
	if q.key != "" {
		return c.KeyRuns != nil && c.KeyRuns(q.key) > 0
	}
	return c.PromptRuns != nil && c.PromptRuns(q.digest) > 0
}

// progress returns the counts so far.
func (l *ledger) progress() Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Progress{Elapsed: time.Since(l.start), Open: l.openNow}
	for _, t := range l.tallies {
		p.Requests += t.requests
		p.Completed += t.completed
		p.Refused += t.refused
		p.Unknown += t.unknown
	}
	for _, count := range l.violations {
		p.Violations += count
	}
	return p
}

// add counts one request's final outcome.
func (t *tally) add(r result) {
	t.tokens += r.tokens
	for _, gap := range r.gaps {
		record(t.between, gap)
	}
	if r.firstToken > 0 {
		record(t.firstToken, r.firstToken)
	}
	switch r.final {
	case outcome.Completed:
		t.complete(r)
	case outcome.Refused:
		t.refused++
		t.refusals[r.reason]++
	case outcome.Abandoned:
		t.abandoned++
	default:
		t.unknown++
		t.unknowns[r.reason]++
	}
}

// complete counts a whole answer against the class's targets.
func (t *tally) complete(r result) {
	t.completed++
	record(t.whole, r.whole)
	all := true
	for kind, target := range targetsOf(t.class.Spec) {
		if target <= 0 || !r.measures(targetKind(kind)) {
			continue
		}
		met := r.measured(targetKind(kind)) <= target
		t.targets[kind].of++
		if met {
			t.targets[kind].met++
		}
		all = all && met
	}
	if all {
		t.attained++
		t.goodTokens += r.tokens
	}
}
