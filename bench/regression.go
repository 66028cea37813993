package bench

import "fmt"

// Bounds of FindRegressions.
const (
	// minGoodputRatio and minAttainmentRatio are the least allowed ratios of the
	// later figure to the earlier one.
	minGoodputRatio    = 0.98
	minAttainmentRatio = 0.99
	// maxWastedRise is the greatest allowed rise of the share of wasted tokens
	// from the earlier figure to the later one.
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

// String describes what got worse, and by how much.
func (r Regression) String() string {
	return fmt.Sprintf("%s %s: %s: %.4f before, %.4f after", r.Workload, r.Policy, r.Figure, r.Before, r.After)
}

// FindRegressions compares the core's runs of two suites, such as those of two
// commits, and returns the figures that got worse beyond their bounds.
// Inversions and violations may not rise at all. Runs are matched by workload
// and seed. Runs that only one suite has are left out.
func FindRegressions(before, after Suite) []Regression {
	var out []Regression
	core := Core().Name
	for _, earlier := range before.Results {
		for _, later := range after.Results {
			same := earlier.Workload == later.Workload && earlier.Policy == later.Policy && earlier.Seed == later.Seed
			if same && earlier.Policy == core {
				out = append(out, runRegressions(earlier, later)...)
			}
		}
	}
	return out
}

func runRegressions(earlier, later Result) []Regression {
	var out []Regression
	check := func(figure string, before, after float64, worse bool) {
		if worse {
			out = append(out, Regression{
				Workload: earlier.Workload, Policy: earlier.Policy, Figure: figure, Before: before, After: after,
			})
		}
	}
	check("goodput", earlier.Goodput, later.Goodput, later.Goodput < earlier.Goodput*minGoodputRatio)
	check("wasted", earlier.Wasted, later.Wasted, later.Wasted > earlier.Wasted+maxWastedRise)
	check("inversions", float64(earlier.Inversions), float64(later.Inversions), later.Inversions > earlier.Inversions)
	earlierViolations, laterViolations := totalCount(earlier.Violations), totalCount(later.Violations)
	check("violations", float64(earlierViolations), float64(laterViolations), laterViolations > earlierViolations)
	for _, earlierClass := range earlier.Classes {
		for _, laterClass := range later.Classes {
			if earlierClass.Class == laterClass.Class {
				worse := laterClass.AttainmentOfAdmitted < earlierClass.AttainmentOfAdmitted*minAttainmentRatio
				check("attainment of admitted "+earlierClass.Class, earlierClass.AttainmentOfAdmitted, laterClass.AttainmentOfAdmitted, worse)
			}
		}
	}
	return out
}

func totalCount(counts []Count) int {
	sum := 0
	for _, c := range counts {
		sum += c.Count
	}
	return sum
}
