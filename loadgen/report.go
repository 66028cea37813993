package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	Workload string  `json:"workload"`
	Seconds  float64 `json:"seconds"` // from the start of the run to its last response
	Requests int     `json:"requests"`
	// Completed, Refused, Unknown and Abandoned add up to Requests. A refused
	// request did not run. An abandoned request is one whose caller left.
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	Abandoned int `json:"abandoned"`
	// Skipped is the number of arrivals that were not sent because too many
	// requests were open.
	Skipped int `json:"skipped"`
	// Duplicates is the number of calls that were sent a second time with the
	// same key.
	Duplicates int `json:"repeats"`
	// Violations is the number of violations of all kinds, ByViolation the
	// number of each kind.
	Violations  int               `json:"violations"`
	ByViolation map[Violation]int `json:"byViolation,omitempty"`
	// Attainment maps each class to its ClassReport.Attainment.
	Attainment map[string]float64 `json:"attainment"`
	Classes    []ClassReport      `json:"classes"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class     string         `json:"class"`
	Route     string         `json:"route"`
	Requests  int            `json:"requests"`
	Completed int            `json:"completed"`
	Refused   int            `json:"refused"`
	Unknown   int            `json:"unknown"`
	Abandoned int            `json:"abandoned"`
	Refusals  map[string]int `json:"refusals,omitempty"` // by reason
	Unknowns  map[string]int `json:"unknowns,omitempty"` // by reason
	// Attainment is the share of requests that completed and met all latency
	// targets. Abandoned requests don't count.
	Attainment float64 `json:"attainment"`
	// AttainmentOfAdmitted is the share of requests that completed and met all
	// latency targets. Abandoned and refused requests don't count.
	AttainmentOfAdmitted float64        `json:"attainmentOfAdmitted"`
	Targets              []TargetReport `json:"targets"`
	Returns              ReturnReport   `json:"comeBack"`
	// Tokens is the number of answer tokens that callers received. GoodTokens
	// counts only the tokens of answers that met all latency targets.
	Tokens        int       `json:"tokens"`
	GoodTokens    int       `json:"goodTokens"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	WholeAnswer   Quantiles `json:"wholeAnswer"`
	// FirstTokenCurve is the whole distribution of FirstToken, for WriteSVG.
	FirstTokenCurve []CurvePoint `json:"-"`
}

// TargetReport says how many completed requests met one latency target.
type TargetReport struct {
	Target   string  `json:"target"` // name of the latency target
	Millis   float64 `json:"ms"`     // the latency target in milliseconds
	Met      int     `json:"met"`    // completed requests that met the target
	Measured int     `json:"of"`     // completed requests that the target applies to
	Share    float64 `json:"share"`  // Met divided by Measured, or 1 if Measured is 0
}

// ReturnReport says how many callers returned after a refusal and how many of
// them were admitted.
type ReturnReport struct {
	Returned int `json:"returned"`
	// Admitted is the number of returning callers that were not refused again.
	Admitted int `json:"admitted"`
	// Share is Admitted divided by Returned, or 1 if Returned is 0.
	Share float64 `json:"share"`
}

// Quantiles describes a distribution of latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// report returns the result of the run.
func (a *accounting) report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := Report{
		Workload:    a.workload,
		Seconds:     time.Since(a.start).Seconds(),
		Skipped:     a.skipped,
		Duplicates:  a.duplicates,
		ByViolation: a.violations,
		Attainment:  make(map[string]float64),
	}
	for _, count := range a.violations {
		out.Violations += count
	}
	for _, t := range a.tallies {
		class := t.report()
		out.Requests += class.Requests
		out.Completed += class.Completed
		out.Refused += class.Refused
		out.Unknown += class.Unknown
		out.Abandoned += class.Abandoned
		out.Attainment[class.Class] = class.Attainment
		out.Classes = append(out.Classes, class)
	}
	return out
}

func (t *classTally) report() ClassReport {
	out := ClassReport{
		Class:                t.class.Name,
		Route:                t.class.Route,
		Requests:             t.requests,
		Completed:            t.completed,
		Refused:              t.refused,
		Unknown:              t.unknown,
		Abandoned:            t.abandoned,
		Refusals:             t.refusals,
		Unknowns:             t.unknowns,
		Attainment:           share(t.metAllTargets, t.completed+t.refused+t.unknown),
		AttainmentOfAdmitted: share(t.metAllTargets, t.completed+t.unknown),
		Returns:              ReturnReport{Returned: t.returned, Admitted: t.admittedReturns, Share: share(t.admittedReturns, t.returned)},
		Tokens:               t.tokens,
		GoodTokens:           t.goodTokens,
		FirstToken:           quantiles(t.firstToken),
		BetweenTokens:        quantiles(t.betweenTokens),
		WholeAnswer:          quantiles(t.wholeAnswer),
		FirstTokenCurve:      latencyCurve(t.firstToken),
	}
	for kind, target := range latencyTargets(t.class.Spec) {
		if target > 0 {
			out.Targets = append(out.Targets, t.targets[kind].report(targetNames[kind], target))
		}
	}
	return out
}

func (t targetTally) report(name string, target time.Duration) TargetReport {
	return TargetReport{
		Target:   name,
		Millis:   float64(target) / float64(time.Millisecond),
		Met:      t.met,
		Measured: t.measured,
		Share:    share(t.met, t.measured),
	}
}

// share returns part divided by whole, or 1 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return microsToMillis(h.ValueAtPercentile(percent)) }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   microsToMillis(h.Max()),
	}
}

// microsToMillis converts microseconds to milliseconds.
func microsToMillis(micros int64) float64 { return float64(micros) / 1000 }

// WriteText writes the report as a table with one line for each class, followed
// by the reasons of refused and unknown requests, the violations and the
// totals.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\trequests\tcompleted\trefused\tunknown\tabandoned\tattained\tof admitted\tback admitted\tfirst p50\tp99 ms\tbetween p50\tp99 ms\twhole p50\tp99 ms\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.4f\t%d/%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.Class, c.Requests, c.Completed, c.Refused, c.Unknown, c.Abandoned,
			c.Attainment, c.AttainmentOfAdmitted, c.Returns.Admitted, c.Returns.Returned,
			c.FirstToken.P50, c.FirstToken.P99, c.BetweenTokens.P50, c.BetweenTokens.P99, c.WholeAnswer.P50, c.WholeAnswer.P99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeReasons(w)
}

// writeReasons writes the reasons of refused and unknown requests, the
// violations and the totals.
func (r Report) writeReasons(w io.Writer) error {
	var out strings.Builder
	for _, c := range r.Classes {
		writeCounts(&out, c.Class+" refused", c.Refusals)
		writeCounts(&out, c.Class+" unknown", c.Unknowns)
	}
	writeCounts(&out, "violations", r.ByViolation)
	fmt.Fprintf(&out, "%s: %d requests in %.1f s: %d completed, %d refused, %d unknown, %d abandoned, %d skipped, %d violations\n",
		r.Workload, r.Requests, r.Seconds, r.Completed, r.Refused, r.Unknown, r.Abandoned, r.Skipped, r.Violations)
	_, err := io.WriteString(w, out.String())
	return err
}

// writeCounts writes the counts in one line, or nothing if there are none.
func writeCounts[K ~string](out *strings.Builder, title string, counts map[K]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:", title)
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, " %s %d", string(key), counts[key])
	}
	out.WriteByte('\n')
}
