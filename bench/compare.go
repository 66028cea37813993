package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Ratio is one figure of two results and the second over the first.
type Ratio struct {
	Figure string  `json:"figure"`
	First  float64 `json:"first"`
	Second float64 `json:"second"`
	// Ratio is Second over First. It is 1 if both are zero, and the greatest
	// float if only First is.
	Ratio float64 `json:"ratio"`
}

// Compare returns the figures of two results of the same workload side by
// side: two policies, or one policy at two commits. Classes are matched by
// name; one that only a single result has is left out.
func Compare(first, second Result) []Ratio {
	var out []Ratio
	add := func(figure string, a, b float64) {
		out = append(out, Ratio{Figure: figure, First: a, Second: b, Ratio: quotient(a, b)})
	}
	add("goodput", first.Goodput, second.Goodput)
	add("wasted", first.Wasted, second.Wasted)
	add("inversions", float64(first.Inversions), float64(second.Inversions))
	add("returned admitted",
		ratio(first.ReturnedAdmitted, first.Returned), ratio(second.ReturnedAdmitted, second.Returned))
	add("preemptions", float64(first.Preemptions), float64(second.Preemptions))
	for _, a := range first.Classes {
		for _, b := range second.Classes {
			if a.Class == b.Class {
				compareClass(a, b, add)
			}
		}
	}
	return out
}

func compareClass(a, b ClassResult, add func(string, float64, float64)) {
	add(a.Class+" attainment", a.Attainment, b.Attainment)
	add(a.Class+" attainment of admitted", a.OfAdmitted, b.OfAdmitted)
	add(a.Class+" longest wait", a.LongestWait.Seconds(), b.LongestWait.Seconds())
	add(a.Class+" fairness", a.Fairness, b.Fairness)
}

func quotient(a, b float64) float64 {
	if a != 0 {
		return b / a
	}
	if b == 0 {
		return 1
	}
	return math.MaxFloat64
}

// WriteRatios writes a comparison as a table.
func WriteRatios(w io.Writer, ratios []Ratio) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "figure\tfirst\tsecond\tratio")
	for _, r := range ratios {
		fmt.Fprintf(tw, "%s\t%.4f\t%.4f\t%.3f\n", r.Figure, r.First, r.Second, r.Ratio)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write ratios")
	}
	return nil
}
