package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// WriteText writes the results as two tables: one with a line for each run, and
// one with a line for each class of each run.
func WriteText(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRuns(tw, results)
	fmt.Fprintln(tw)
	writeClasses(tw, results)
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write tables")
	}
	return nil
}

func writeRuns(w io.Writer, results []Result) {
	fmt.Fprintln(w, "workload\tpolicy\tgoodput\twasted\tinversions\treturned admitted\tbeyond run\tretry after\trefusal ticks\tpreempted\tviolations")
	for i := range results {
		r := &results[i]
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.4f\t%d\t%d of %d\t%d\t%.1fs\t%d\t%d\t%s\n",
			r.Workload, r.Policy, r.Goodput, r.Wasted, r.Inversions,
			r.ReturnedAdmitted, r.Returned, r.ReturnsBeyondRun, r.MeanRetryAfter.Seconds(), r.MaxRefusalDelayTicks, r.Preemptions, joinCounts(r.Violations))
	}
}

func writeClasses(w io.Writer, results []Result) {
	fmt.Fprintln(w, "workload\tpolicy\tclass\ttier\trequests\tadmitted\tattained\tof admitted\tfirst\tbetween\twhole\tfirst p50\tfirst p99\tlongest wait\tfairness\tretries\tnot completed")
	for i := range results {
		r := &results[i]
		for _, c := range r.Classes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.2fs\t%.2fs\t%.2fs\t%.3f\t%d\t%s\n",
				r.Workload, r.Policy, c.Class, c.Tier, c.Requests, c.Admitted,
				c.Attainment, c.AttainmentOfAdmitted, c.FirstTokenMet, c.BetweenTokensMet, c.WholeAnswerMet,
				c.FirstTokenP50.Seconds(), c.FirstTokenP99.Seconds(), c.LongestWait.Seconds(),
				c.Fairness, c.Retries, joinCounts(c.Refusals))
		}
	}
}

// joinCounts returns the counts as a list of name=count, or "-" if there are
// none.
func joinCounts(counts []Count) string {
	if len(counts) == 0 {
		return "-"
	}
	parts := make([]string, len(counts))
	for i, c := range counts {
		parts[i] = fmt.Sprintf("%s=%d", c.Name, c.Count)
	}
	return strings.Join(parts, ",")
}
