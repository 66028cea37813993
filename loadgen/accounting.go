package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotpin.example/bergamotpin/outcome"
)

// Violation names a kind of broken guarantee to callers.
type Violation string

// The kinds of violations.
const (
	// WrongAnswer is an answer that is incomplete, wrong or another caller's.
	WrongAnswer Violation = "wrong_answer"
	// RanTwice is an idempotency key whose call ran more than once.
	RanTwice Violation = "ran_twice"
	// RanAfterRefusal is a request that ran although its caller was told that
	// it did not run.
	RanAfterRefusal Violation = "ran_after_refusal"
	// MalformedRefusal is a refusal without a code, a reason or a valid run
	// field, or whose run header differs from the run field.
	MalformedRefusal Violation = "malformed_refusal"
)

// Range of the histograms in microseconds, and their precision in significant
// digits.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// classTally holds the counts and latencies of one class.
type classTally struct {
	class           *Class
	requests        int
	completed       int
	refused         int
	unknown         int
	abandoned       int
	refusals        map[string]int
	unknowns        map[string]int
	returned        int // refused callers that returned
	admittedReturns int // returned callers that were not refused again
	tokens          int // answer tokens that callers received
	goodTokens      int // tokens of the answers counted in metAllTargets
	metAllTargets   int // completed requests that met all latency targets
	targets         [targetCount]targetTally
	firstToken      *hdrhistogram.Histogram
	betweenTokens   *hdrhistogram.Histogram
	wholeAnswer     *hdrhistogram.Histogram
}

// targetTally counts the completed requests that a latency target applies to,
// and those that met it.
type targetTally struct{ met, measured int }

func newClassTally(class *Class) *classTally {
	return &classTally{
		class:         class,
		refusals:      make(map[string]int),
		unknowns:      make(map[string]int),
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		wholeAnswer:   newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// recordDuration adds a duration to the histogram. A duration outside of the
// histogram's range counts as the nearest value in the range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), histogramMin), histogramMax)
	if err := h.RecordValue(value); err != nil {
		panic(err) // unreachable: the value is within the histogram's range
	}
}

// accounting collects the results of a run. It is safe for concurrent use.
type accounting struct {
	workload   string
	start      time.Time
	keepsTrace bool // whether TraceOutput is set

	mu              sync.Mutex
	openCount       int
	skipped         int
	duplicates      int
	tallies         []*classTally // in the order of the workload's classes
	byClass         map[*Class]*classTally
	violations      map[Violation]int
	idempotencyKeys []string   // of all calls to plain services
	notRunRequests  []*request // refused requests, without the calls that were sent twice
	trace           []TraceRecord
}

func newAccounting(opts Options, start time.Time) *accounting {
	a := &accounting{
		workload:   opts.Workload.Name,
		start:      start,
		keepsTrace: opts.TraceOutput != nil,
		byClass:    make(map[*Class]*classTally),
		violations: make(map[Violation]int),
	}
	for i := range opts.Workload.Classes {
		class := &opts.Workload.Classes[i]
		t := newClassTally(class)
		a.tallies = append(a.tallies, t)
		a.byClass[class] = t
	}
	return a
}

// open counts a request that is about to be sent. If limit requests are open
// already, it counts the request as skipped and returns false.
func (a *accounting) open(q *request, limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openCount >= limit {
		a.skipped++
		return false
	}
	a.openCount++
	a.byClass[q.class].requests++
	if q.idempotencyKey != "" {
		a.idempotencyKeys = append(a.idempotencyKeys, q.idempotencyKey)
	}
	return true
}

// close records the final outcome of a request that open accepted.
func (a *accounting) close(q *request, r sendResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openCount--
	a.byClass[q.class].add(r)
	a.countViolations(r)
	if r.finalOutcome == outcome.Refused && !q.sentTwice {
		a.notRunRequests = append(a.notRunRequests, q)
	}
	if a.keepsTrace {
		a.trace = append(a.trace, traceOf(q, r))
	}
}

// countDuplicate counts a call that is sent a second time with the same key.
func (a *accounting) countDuplicate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.duplicates++
}

// countReturn counts a refused caller that returned. If the caller was not
// refused again, it also counts an admitted return.
func (a *accounting) countReturn(q *request, r sendResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byClass[q.class]
	t.returned++
	if r.finalOutcome != outcome.Refused {
		t.admittedReturns++
	}
}

// countViolations counts the violations of a result. The caller must hold the
// lock.
func (a *accounting) countViolations(r sendResult) {
	for _, v := range r.violations {
		a.violations[v]++
	}
}

// checkRunCounts compares what the backend servers ran with what callers were
// told.
func (a *accounting) checkRunCounts(runCounts RunCounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if duplicates := runCounts.countDuplicateRuns(a.idempotencyKeys); duplicates > a.violations[RanTwice] {
		// The new count replaces the earlier count, because it includes the
		// duplicate runs that callers saw in their responses.
		a.violations[RanTwice] = duplicates
	}
	for _, q := range a.notRunRequests {
		if runCounts.ranRequest(q) {
			a.violations[RanAfterRefusal]++
		}
	}
}

// countDuplicateRuns returns the number of keys that ran more than once.
func (c RunCounts) countDuplicateRuns(keys []string) (count int) {
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

// ranRequest reports whether a backend server ran the request.
func (c RunCounts) ranRequest(q *request) bool {
	if q.idempotencyKey != "" {
		return c.KeyRuns != nil && c.KeyRuns(q.idempotencyKey) > 0
	}
	return c.PromptRuns != nil && c.PromptRuns(q.promptDigest) > 0
}

// progress returns the counts of the run so far.
func (a *accounting) progress() Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Progress{Elapsed: time.Since(a.start), Open: a.openCount}
	for _, t := range a.tallies {
		p.Requests += t.requests
		p.Completed += t.completed
		p.Refused += t.refused
		p.Unknown += t.unknown
	}
	for _, count := range a.violations {
		p.Violations += count
	}
	return p
}

// add counts a request by its final outcome and records its latencies.
func (t *classTally) add(r sendResult) {
	t.tokens += r.tokens
	for _, gap := range r.gaps {
		recordDuration(t.betweenTokens, gap)
	}
	if r.firstToken > 0 {
		recordDuration(t.firstToken, r.firstToken)
	}
	switch r.finalOutcome {
	case outcome.Completed:
		t.addCompleted(r)
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

// addCompleted counts a completed request and the latency targets that the
// request met.
func (t *classTally) addCompleted(r sendResult) {
	t.completed++
	recordDuration(t.wholeAnswer, r.whole)
	metAll := true
	for kind, target := range latencyTargets(t.class.Spec) {
		if target <= 0 || !r.targetApplies(targetKind(kind)) {
			continue
		}
		met := r.measuredLatency(targetKind(kind)) <= target
		t.targets[kind].measured++
		if met {
			t.targets[kind].met++
		}
		metAll = metAll && met
	}
	if metAll {
		t.metAllTargets++
		t.goodTokens += r.tokens
	}
}
