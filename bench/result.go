package bench

import (
	"maps"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestFirstToken bounds the recorded times to the first token.
	longestFirstToken = time.Hour
	// firstTokenDigits is the histogram's precision.
	firstTokenDigits = 3
)

// Result holds the figures of one run.
type Result struct {
	Workload string `json:"workload"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Goodput is the share of BestTokens that came in answers within target.
	Goodput    float64 `json:"goodput"`
	GoodTokens int     `json:"goodTokens"`
	BestTokens int     `json:"bestTokens"`
	// Wasted is the share of all computed tokens, prompt and answer, that was
	// thrown away.
	Wasted         float64 `json:"wasted"`
	ComputedTokens int     `json:"computedTokens"`
	WastedTokens   int     `json:"wastedTokens"`
	// Inversions counts requests shed at a tick that left a lower tier waiting
	// or admitted it outside its floor.
	Inversions int `json:"inversions"`
	// RefusalTicks is the longest time from the end of the allowed wait to the
	// refusal, in ticks.
	RefusalTicks int `json:"refusalTicks"`
	// RefusedPastDeadline counts refusals after the caller's deadline.
	RefusedPastDeadline int `json:"refusedPastDeadline"`
	// Returned counts visits of callers that came back when told, and
	// ReturnedAdmitted those that were then granted.
	Returned         int `json:"returned"`
	ReturnedAdmitted int `json:"returnedAdmitted"`
	// ReturnsBeyondRun counts callers told to come back after the run's end.
	ReturnsBeyondRun int `json:"returnsBeyondRun"`
	// MeanRetryAfter is the mean time to return of all refusals.
	MeanRetryAfter time.Duration `json:"meanRetryAfterNanoseconds"`
	Preemptions    int           `json:"preemptions"`
	Referrals      int           `json:"referrals"`
	// Failures counts failed attempts by reason.
	Failures []Count `json:"failures,omitempty"`
	// Violations counts broken promises by kind.
	Violations []Count       `json:"violations,omitempty"`
	Classes    []ClassResult `json:"classes"`
}

// Count is a named counter.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// ClassResult holds one class's figures. Each visit of a caller counts.
type ClassResult struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Requests int    `json:"requests"`
	Admitted int    `json:"admitted"`
	// Left counts the callers that leave of their own will. They count in no
	// other figure of the class.
	Left int `json:"left"`
	// Completed counts whole answers, in time or not.
	Completed int `json:"completed"`
	// Met counts answers that met every target of the class.
	Met int `json:"met"`
	// Attainment and OfAdmitted are Met over Requests and over Admitted.
	Attainment float64 `json:"attainment"`
	OfAdmitted float64 `json:"ofAdmitted"`
	// FirstToken, BetweenTokens and WholeAnswer are the shares of admitted
	// requests that met that target.
	FirstToken    float64 `json:"firstToken"`
	BetweenTokens float64 `json:"betweenTokens"`
	WholeAnswer   float64 `json:"wholeAnswer"`
	// LongestWait is the longest time to the first grant, or to the end
	// without one.
	LongestWait time.Duration `json:"longestWaitNanoseconds"`
	// FirstTokenP50 and FirstTokenP99 are quantiles of the time to the first
	// token, of requests that got one.
	FirstTokenP50 time.Duration `json:"firstTokenP50Nanoseconds"`
	FirstTokenP99 time.Duration `json:"firstTokenP99Nanoseconds"`
	// Fairness is Jain's index over organisations of the share of their
	// tokens asked for that they got in whole answers.
	Fairness float64 `json:"fairness"`
	// Retries counts attempts after a request's first.
	Retries int `json:"retries"`
	// Refusals counts final answers other than completed ones by reason.
	Refusals []Count `json:"refusals,omitempty"`
}

func (d *driver) result() Result {
	r := Result{
		Workload: d.w.Name, Policy: d.policy.Name, Seed: d.seed,
		ComputedTokens:      d.totals.prefilled + d.totals.decoded,
		Inversions:          d.audit.inversions,
		RefusalTicks:        d.audit.maxRefusalTicks,
		RefusedPastDeadline: d.audit.pastDeadline,
		Returned:            d.totals.returned,
		ReturnsBeyondRun:    d.totals.beyondRun,
		Preemptions:         d.totals.preemptions,
		Referrals:           d.totals.referrals,
		MeanRetryAfter:      d.totals.meanRetryAfter(),
		Failures:            counts(d.totals.failures),
	}
	until := d.w.GoodputUntil
	if until == 0 {
		until = d.w.Duration
	}
	r.BestTokens = bestTokens(d.w, d.requests, until)
	for i := range d.requests {
		d.sum(&r, &d.requests[i], until)
	}
	r.Violations = counts(d.audit.violations)
	r.Goodput = ratio(r.GoodTokens, r.BestTokens)
	r.Wasted = ratio(r.WastedTokens, r.ComputedTokens)
	for class := range d.w.Classes {
		r.Classes = append(r.Classes, d.classResult(class))
	}
	return r
}

func (d *driver) sum(out *Result, r *request, until time.Duration) {
	out.WastedTokens += r.wasted()
	if r.visit > 0 && r.everGranted {
		out.ReturnedAdmitted++
	}
	if r.phase == phaseWaiting || r.phase == phaseRunning {
		d.audit.violations["unanswered"]++
	}
	if r.leaveAfter == 0 && r.arrived < until && r.met(&d.w.Classes[r.class]) {
		out.GoodTokens += r.answer
	}
}

// wasted is the number of tokens computed for nothing.
func (r *request) wasted() int {
	computed := r.prefilled + r.decoded
	if r.phase != phaseDone || r.final != outcome.Completed {
		return computed
	}
	return max(computed-r.usefulPrompt-r.answer, 0)
}

func (r *request) firstTokenMet(load *ClassLoad) bool {
	return r.firstAt > 0 && (load.FirstToken == 0 || r.firstAt-r.arrived <= load.FirstToken)
}

func (r *request) betweenMet(load *ClassLoad) bool {
	if r.delivered < 2 || load.BetweenTokens == 0 {
		return r.delivered > 0
	}
	mean := (r.lastAt - r.firstAt) / time.Duration(r.delivered-1)
	return mean <= load.BetweenTokens
}

func (r *request) wholeMet(load *ClassLoad) bool {
	if r.final != outcome.Completed {
		return false
	}
	return load.WholeAnswer == 0 || r.lastAt-r.arrived <= load.WholeAnswer
}

func (r *request) met(load *ClassLoad) bool {
	return r.firstTokenMet(load) && r.betweenMet(load) && r.wholeMet(load)
}

func (d *driver) classResult(class int) ClassResult {
	load := &d.w.Classes[class]
	out := ClassResult{Class: load.Name, Tier: load.Tier}
	refusals := make(map[string]int)
	firstTokens := hdrhistogram.New(1, longestFirstToken.Milliseconds(), firstTokenDigits)
	var first, between, whole int
	for i := range d.requests {
		r := &d.requests[i]
		if r.class != class || r.phase == phaseNew {
			continue
		}
		if r.leaveAfter > 0 {
			out.Left++
			continue
		}
		out.Requests++
		out.LongestWait = max(out.LongestWait, d.wait(r))
		out.Admitted += one(r.everGranted)
		out.Completed += one(r.final == outcome.Completed)
		out.Met += one(r.met(load))
		first += one(r.firstTokenMet(load))
		between += one(r.betweenMet(load))
		whole += one(r.wholeMet(load))
		out.Retries += max(int(r.attempt)-1, 0)
		if r.firstAt > 0 {
			_ = firstTokens.RecordValue((r.firstAt - r.arrived).Milliseconds())
		}
		if r.phase == phaseDone && r.final != outcome.Completed {
			refusals[r.reason.String()]++
		}
	}
	out.Attainment = ratio(out.Met, out.Requests)
	out.OfAdmitted = ratio(out.Met, out.Admitted)
	out.FirstToken = ratio(first, out.Admitted)
	out.BetweenTokens = ratio(between, out.Admitted)
	out.WholeAnswer = ratio(whole, out.Admitted)
	out.FirstTokenP50 = quantile(firstTokens, 50)
	out.FirstTokenP99 = quantile(firstTokens, 99)
	out.Fairness = d.fairness(class)
	out.Refusals = counts(refusals)
	return out
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
}

// wait is the time to the first grant, or to the end without one.
func (d *driver) wait(r *request) time.Duration {
	switch {
	case r.everGranted:
		return r.granted - r.arrived
	case r.phase == phaseDone:
		return r.ended - r.arrived
	}
	return d.now - r.arrived
}

func counts(m map[string]int) []Count {
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

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
