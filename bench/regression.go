package bench

import "fmt"

// Bounds of Regressions, as ratios of the later figure over the earlier.
const (
	minGoodputRatio    = 0.98
	minAttainmentRatio = 0.99
	// maxWastedRise is by how much the share of wasted tokens may rise.
	maxWastedRise = 0.005
)

// Regression is a figure that got worse beyond its bound.
type Regression struct {
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Figure   string  `json:"figure"`
	Before   float64 `json:"before"`
	After    float64 `json:"after"`
}

// String says what got worse.
func (r Regression) String() string {
	return fmt.Sprintf("%s %s: %s: %.4f before, %.4f after", r.Workload, r.Policy, r.Figure, r.Before, r.After)
}

// Regressions compares the core's runs of two suites, such as those of two
// commits, by workload and seed. Bounds are ratios, and counts for inversions
// and violations. Runs that only one suite has are left out.
func Regressions(before, after Suite) []Regression {
	var out []Regression
	core := Core().Name
	for _, a := range before.Results {
		for _, b := range after.Results {
			same := a.Workload == b.Workload && a.Policy == b.Policy && a.Seed == b.Seed
			if same && a.Policy == core {
				out = append(out, regressionsOf(a, b)...)
			}
		}
	}
	return out
}

func regressionsOf(a, b Result) []Regression {
	var out []Regression
	check := func(figure string, before, after float64, worse bool) {
		if worse {
			out = append(out, Regression{
				Workload: a.Workload, Policy: a.Policy, Figure: figure, Before: before, After: after,
			})
		}
	}
	check("goodput", a.Goodput, b.Goodput, b.Goodput < a.Goodput*minGoodputRatio)
	check("wasted", a.Wasted, b.Wasted, b.Wasted > a.Wasted+maxWastedRise)
	check("inversions", float64(a.Inversions), float64(b.Inversions), b.Inversions > a.Inversions)
	va, vb := total(a.Violations), total(b.Violations)
	check("violations", float64(va), float64(vb), vb > va)
	for _, x := range a.Classes {
		for _, y := range b.Classes {
			if x.Class == y.Class {
				worse := y.OfAdmitted < x.OfAdmitted*minAttainmentRatio
				check("attainment of admitted "+x.Class, x.OfAdmitted, y.OfAdmitted, worse)
			}
		}
	}
	return out
}

func total(counts []Count) int {
	sum := 0
	for _, c := range counts {
		sum += c.Count
	}
	return sum
}
