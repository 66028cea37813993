package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Ratio is one figure in two results, and the ratio of its values.
type Ratio struct {
	Figure string  `json:"figure"`
	First  float64 `json:"first"`
	Second float64 `json:"second"`
	// Ratio is Second over First. It is 1 if both are zero, and the greatest
	// float64 if only First is zero.
	Ratio float64 `json:"ratio"`
}

// Compare returns the figures of two results of the same workload side by side:
// of two policies, or of one policy at two commits. Classes are matched by
// name. A class that only one result has is left out.
func Compare(first, second Result) []Ratio {
	var out []Ratio
	add := func(figure string, firstValue, secondValue float64) {
		out = append(out, Ratio{Figure: figure, First: firstValue, Second: secondValue, Ratio: quotient(firstValue, secondValue)})
	}
	add("goodput", first.Goodput, second.Goodput)
	add("wasted", first.Wasted, second.Wasted)
	add("inversions", float64(first.Inversions), float64(second.Inversions))
	add("returned admitted",
		ratio(first.ReturnedAdmitted, first.Returned), ratio(second.ReturnedAdmitted, second.Returned))
	add("preemptions", float64(first.Preemptions), float64(second.Preemptions))
	for _, firstClass := range first.Classes {
		for _, secondClass := range second.Classes {
			if firstClass.Class == secondClass.Class {
				compareClass(firstClass, secondClass, add)
			}
		}
	}
	return out
}

func compareClass(first, second ClassResult, add func(string, float64, float64)) {
	add(first.Class+" attainment", first.Attainment, second.Attainment)
	add(first.Class+" attainment of admitted", first.AttainmentOfAdmitted, second.AttainmentOfAdmitted)
	add(first.Class+" longest wait", first.LongestWait.Seconds(), second.LongestWait.Seconds())
	add(first.Class+" fairness", first.Fairness, second.Fairness)
}

// quotient returns second over first, with the values for zero that Ratio.Ratio
// describes.
func quotient(first, second float64) float64 {
	if first != 0 {
		return second / first
	}
	if second == 0 {
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
