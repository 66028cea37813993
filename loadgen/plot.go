package loadgen

import (
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CurvePoint is one point of a latency distribution.
type CurvePoint struct {
	// Percentile is between 0 and 100.
	Percentile float64
	Millis     float64
}

// The x axis is linear in the number of nines of the percentile (90% has one,
// 99% two), up to maxNines, with pointsPerNine points for each nine.
const (
	maxNines      = 4
	pointsPerNine = 10
)

// latencyCurve returns the points of a histogram's distribution, or nil if the
// histogram is empty.
func latencyCurve(h *hdrhistogram.Histogram) (out []CurvePoint) {
	if h.TotalCount() == 0 {
		return nil
	}
	for i := range maxNines*pointsPerNine + 1 {
		percentile := 100 * (1 - math.Pow(10, -float64(i)/pointsPerNine))
		out = append(out, CurvePoint{percentile, microsToMillis(h.ValueAtPercentile(percentile))})
	}
	return out
}

// Size and margin of the plot in pixels, and the range of latencies as powers
// of ten of a millisecond.
const (
	plotWidth  = 800
	plotHeight = 480
	plotMargin = 60
	minDecade  = 0
	maxDecade  = 5
)

var plotColours = [...]string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"}

// WriteSVG plots each class's time to first token by percentile, with both axes
// logarithmic. Classes without streamed responses are left out.
func (r Report) WriteSVG(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	out.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	drawAxes(&out)
	line := 0
	for _, class := range r.Classes {
		if len(class.FirstTokenCurve) > 0 {
			drawClass(&out, class, line)
			line++
		}
	}
	out.WriteString("</svg>\n")
	_, err := io.WriteString(w, out.String())
	return err
}

func drawAxes(out *strings.Builder) {
	for nines := range maxNines + 1 {
		x := plotX(float64(nines))
		percentile := 100 * (1 - math.Pow(10, -float64(nines)))
		fmt.Fprintf(out, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/>`, x, plotMargin, x, plotHeight-plotMargin)
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%g%%</text>`+"\n", x, plotHeight-plotMargin+18, percentile)
	}
	for decade := minDecade; decade <= maxDecade; decade++ {
		y := plotY(math.Pow(10, float64(decade)))
		fmt.Fprintf(out, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`, plotMargin, y, plotWidth-plotMargin, y)
		fmt.Fprintf(out, `<text x="%d" y="%.1f" text-anchor="end">%g ms</text>`+"\n", plotMargin-6, y+4, math.Pow(10, float64(decade)))
	}
	fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="middle">time to first token by percentile</text>`+"\n", plotWidth/2, plotMargin/2)
}

func drawClass(out *strings.Builder, class ClassReport, line int) {
	colour := plotColours[line%len(plotColours)]
	points := make([]string, len(class.FirstTokenCurve))
	for i, p := range class.FirstTokenCurve {
		points[i] = fmt.Sprintf("%.1f,%.1f", plotX(float64(i)/pointsPerNine), plotY(p.Millis))
	}
	fmt.Fprintf(out, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`, strings.Join(points, " "), colour)
	fmt.Fprintf(out, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+10, plotMargin+18*(line+1), colour, class.Class)
}

// plotX returns the x coordinate in pixels of a number of nines.
func plotX(nines float64) float64 {
	return plotMargin + nines/maxNines*(plotWidth-2*plotMargin)
}

// plotY returns the y coordinate in pixels of a latency in milliseconds.
func plotY(ms float64) float64 {
	decade := min(max(math.Log10(ms), minDecade), maxDecade)
	share := (decade - minDecade) / (maxDecade - minDecade)
	return plotHeight - plotMargin - share*(plotHeight-2*plotMargin)
}
