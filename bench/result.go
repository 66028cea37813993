package bench

import (
	"maps"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedFirstToken is the longest time to the first token that the
	// percentiles are computed from. Longer times are left out.
	maxRecordedFirstToken = time.Hour
	// histogramDigits is the precision of the histogram of times to the first
	// token, in significant digits.
	histogramDigits = 3
)

// Result holds the figures of one run.
type Result struct {
	Workload string `json:"workload"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Goodput is GoodTokens over MaxGoodTokens: the tokens of answers that met
	// all targets, as a share of the most that the fleet could have generated.
	Goodput       float64 `json:"goodput"`
	GoodTokens    int     `json:"goodTokens"`
	MaxGoodTokens int     `json:"bestTokens"`
	// Wasted is the share of all computed tokens, of prompts and answers, that
	// were of no use to a completed answer.
	Wasted         float64 `json:"wasted"`
	ComputedTokens int     `json:"computedTokens"`
	WastedTokens   int     `json:"wastedTokens"`
	// Inversions counts the requests that were refused for lack of capacity, or
	// preempted, at a tick that left a request of a lower tier waiting, or that
	// granted a request of a lower tier beyond its class's floor.
	Inversions int `json:"inversions"`
	// MaxRefusalDelayTicks is the longest delay from the end of a request's allowed
	// wait to the request's refusal, in ticks.
	MaxRefusalDelayTicks int `json:"refusalTicks"`
	// RefusedPastDeadline counts refusals at or after the caller's deadline.
	RefusedPastDeadline int `json:"refusedPastDeadline"`
	// Returned counts the requests of callers that returned after a refusal.
	// ReturnedAdmitted is how many of these requests were granted.
	Returned         int `json:"returned"`
	ReturnedAdmitted int `json:"returnedAdmitted"`
	// ReturnsBeyondRun counts refused callers that don't return, because they
	// would return too late to have an outcome before the run's end.
	ReturnsBeyondRun int `json:"returnsBeyondRun"`
	// MeanRetryAfter is the mean Retry-After time of all refusals.
	MeanRetryAfter time.Duration `json:"meanRetryAfterNanoseconds"`
	Preemptions    int           `json:"preemptions"`
	Referrals      int           `json:"referrals"`
	// Failures counts failed attempts by reason.
	Failures []Count `json:"failures,omitempty"`
	// Violations counts broken guarantees by kind.
	Violations []Count       `json:"violations,omitempty"`
	Classes    []ClassResult `json:"classes"`
}

// Count is a named counter.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// ClassResult holds the figures of one class. Each return of a caller counts as
// a request of its own.
type ClassResult struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Requests int    `json:"requests"`
	// Admitted counts the requests that were granted at least once.
	Admitted int `json:"admitted"`
	// CallersLeft counts the requests of callers that leave without waiting for
	// their deadline, including those answered before their callers left. These
	// requests count in no other figure of the class.
	CallersLeft int `json:"left"`
	// Completed counts whole answers, in time or not.
	Completed int `json:"completed"`
	// Met counts answers that met all targets of the class.
	Met int `json:"met"`
	// Attainment is Met over Requests, and AttainmentOfAdmitted is Met over
	// Admitted.
	Attainment           float64 `json:"attainment"`
	AttainmentOfAdmitted float64 `json:"ofAdmitted"`
	// FirstTokenMet, BetweenTokensMet and WholeAnswerMet are the shares of
	// admitted requests that met the respective target.
	FirstTokenMet    float64 `json:"firstToken"`
	BetweenTokensMet float64 `json:"betweenTokens"`
	WholeAnswerMet   float64 `json:"wholeAnswer"`
	// LongestWait is the longest time from arrival to the first grant, or to
	// the outcome of a request that was never granted.
	LongestWait time.Duration `json:"longestWaitNanoseconds"`
	// FirstTokenP50 and FirstTokenP99 are percentiles of the time to the first
	// token, over the requests that got a token.
	FirstTokenP50 time.Duration `json:"firstTokenP50Nanoseconds"`
	FirstTokenP99 time.Duration `json:"firstTokenP99Nanoseconds"`
	// Fairness is Jain's index over organisations: 1 if each got its fair share
	// of tokens in completed answers, 1/n if one of n got everything.
	Fairness float64 `json:"fairness"`
	// Retries counts the attempts beyond the first of each request.
	Retries int `json:"retries"`
	// Refusals counts the requests that ended without a whole answer, by reason.
	// Beside refused requests these are abandoned ones and those with an unknown
	// outcome.
	Refusals []Count `json:"refusals,omitempty"`
}

func (d *driver) result() Result {
	r := Result{
		Workload: d.workload.Name, Policy: d.policy.Name, Seed: d.seed,
		ComputedTokens:       d.totals.prefilledTokens + d.totals.decodedTokens,
		Inversions:           d.auditor.inversions,
		MaxRefusalDelayTicks: d.auditor.refusalTicks,
		RefusedPastDeadline:  d.auditor.refusedPastDeadline,
		Returned:             d.totals.returned,
		ReturnsBeyondRun:     d.totals.returnsBeyondRun,
		Preemptions:          d.totals.preemptions,
		Referrals:            d.totals.referrals,
		MeanRetryAfter:       d.totals.meanRetryAfter(),
		Failures:             sortedCounts(d.totals.failures),
	}
	until := d.workload.GoodputUntil
	if until == 0 {
		until = d.workload.Duration
	}
	r.MaxGoodTokens = bestTokens(d.workload, d.requests, until)
	for i := range d.requests {
		d.addRequest(&r, &d.requests[i], until)
	}
	r.Violations = sortedCounts(d.auditor.violations)
	r.Goodput = ratio(r.GoodTokens, r.MaxGoodTokens)
	r.Wasted = ratio(r.WastedTokens, r.ComputedTokens)
	for class := range d.workload.Classes {
		r.Classes = append(r.Classes, d.classResult(class))
	}
	return r
}

// addRequest adds a request's figures to the run's result. A request without an
// outcome at the run's end is a violation.
func (d *driver) addRequest(out *Result, r *request, until time.Duration) {
	out.WastedTokens += r.wastedTokens()
	if r.returns > 0 && r.everGranted {
		out.ReturnedAdmitted++
	}
	if r.phase == phaseWaiting || r.phase == phaseRunning {
		d.auditor.violations["unanswered"]++
	}
	if r.leaveAfter == 0 && r.arrivedAt < until && r.meetsTargets(&d.workload.Classes[r.class]) {
		out.GoodTokens += r.answerTokens
	}
}

// wastedTokens is the number of tokens computed for the request that were of no
// use to a completed answer.
func (r *request) wastedTokens() int {
	computed := r.prefilledTokens + r.decodedTokens
	if r.phase != phaseDone || r.final != outcome.Completed {
		return computed
	}
	return max(computed-r.usefulPrefill-r.answerTokens, 0)
}

func (r *request) meetsFirstToken(load *ClassLoad) bool {
	return r.firstTokenAt > 0 && (load.FirstToken == 0 || r.firstTokenAt-r.arrivedAt <= load.FirstToken)
}

// meetsBetweenTokens reports whether the mean time between the answer's tokens
// is within its target.
func (r *request) meetsBetweenTokens(load *ClassLoad) bool {
	if r.deliveredTokens < 2 || load.BetweenTokens == 0 {
		return r.deliveredTokens > 0
	}
	mean := (r.lastTokenAt - r.firstTokenAt) / time.Duration(r.deliveredTokens-1)
	return mean <= load.BetweenTokens
}

func (r *request) meetsWholeAnswer(load *ClassLoad) bool {
	if r.final != outcome.Completed {
		return false
	}
	return load.WholeAnswer == 0 || r.lastTokenAt-r.arrivedAt <= load.WholeAnswer
}

func (r *request) meetsTargets(load *ClassLoad) bool {
	return r.meetsFirstToken(load) && r.meetsBetweenTokens(load) && r.meetsWholeAnswer(load)
}

func (d *driver) classResult(class int) ClassResult {
	load := &d.workload.Classes[class]
	out := ClassResult{Class: load.Name, Tier: load.Tier}
	refusals := make(map[string]int)
	firstTokens := hdrhistogram.New(1, maxRecordedFirstToken.Milliseconds(), histogramDigits)
	var firstTokenMet, betweenTokensMet, wholeAnswerMet int
	for i := range d.requests {
		r := &d.requests[i]
		if r.class != class || r.phase == phaseNew {
			continue
		}
		if r.leaveAfter > 0 {
			out.CallersLeft++
			continue
		}
		out.Requests++
		out.LongestWait = max(out.LongestWait, d.timeToFirstGrant(r))
		out.Admitted += boolToInt(r.everGranted)
		out.Completed += boolToInt(r.final == outcome.Completed)
		out.Met += boolToInt(r.meetsTargets(load))
		firstTokenMet += boolToInt(r.meetsFirstToken(load))
		betweenTokensMet += boolToInt(r.meetsBetweenTokens(load))
		wholeAnswerMet += boolToInt(r.meetsWholeAnswer(load))
		out.Retries += max(int(r.attempt)-1, 0)
		if r.firstTokenAt > 0 {
			_ = firstTokens.RecordValue((r.firstTokenAt - r.arrivedAt).Milliseconds())
		}
		if r.phase == phaseDone && r.final != outcome.Completed {
			refusals[r.reason.String()]++
		}
	}
	out.Attainment = ratio(out.Met, out.Requests)
	out.AttainmentOfAdmitted = ratio(out.Met, out.Admitted)
	out.FirstTokenMet = ratio(firstTokenMet, out.Admitted)
	out.BetweenTokensMet = ratio(betweenTokensMet, out.Admitted)
	out.WholeAnswerMet = ratio(wholeAnswerMet, out.Admitted)
	out.FirstTokenP50 = percentile(firstTokens, 50)
	out.FirstTokenP99 = percentile(firstTokens, 99)
	out.Fairness = d.fairness(class)
	out.Refusals = sortedCounts(refusals)
	return out
}

// percentile returns a percentile of a histogram of milliseconds.
func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond
}

// timeToFirstGrant is the time from arrival to the first grant. Without a grant
// it is the time to the outcome, or to the run's end.
func (d *driver) timeToFirstGrant(r *request) time.Duration {
	switch {
	case r.everGranted:
		return r.firstGrantAt - r.arrivedAt
	case r.phase == phaseDone:
		return r.endedAt - r.arrivedAt
	}
	return d.now - r.arrivedAt
}

func sortedCounts(m map[string]int) []Count {
	var out []Count
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, Count{Name: name, Count: m[name]})
	}
	return out
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
