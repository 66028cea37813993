package chaos

import (
	"fmt"
	"log/slog"
	"strings"
	"time"
)

const (
	// DrainLimit is the grace period of a drain. It starts when the operator's
	// write is accepted. After it ends, the server must get no new request.
	DrainLimit = 3 * time.Second
	// RecoveryTimeout bounds how long a check waits for its condition to hold.
	RecoveryTimeout = 30 * time.Second
	// DefaultSteps is the number of steps if Options.Steps is zero.
	DefaultSteps = 6
)

// Options configures a run. The zero value of a field selects its default.
type Options struct {
	// Seed is the seed of all random choices.
	Seed uint64
	// Steps is the number of steps. Zero means DefaultSteps.
	Steps int
	// Faults names the faults to choose from. Empty means all faults.
	Faults []string
	// Log receives the instances' logs. Nil discards them.
	Log *slog.Logger
	// OnStep is called after each step. It may be nil.
	OnStep func(Step)
}

func (o Options) withDefaults() Options {
	if o.Steps == 0 {
		o.Steps = DefaultSteps
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.OnStep == nil {
		o.OnStep = func(Step) {}
	}
	return o
}

// Guarantee names a property that callers and operators rely on and that each
// run checks. The package comment describes each guarantee.
type Guarantee string

// The guarantees that a run checks.
const (
	CorrectAnswers   Guarantee = "answers"
	AtMostOnce       Guarantee = "at_most_once"
	Draining         Guarantee = "draining"
	Configuration    Guarantee = "configuration"
	TimelyOutcomes   Guarantee = "answered"
	EveryClassServed Guarantee = "served"
	Scheduling       Guarantee = "scheduling"
)

// Failure is one violation of a guarantee.
type Failure struct {
	Guarantee Guarantee `json:"promise"`
	Detail    string    `json:"detail"`
}

// Step is the result of one step: the injected faults, the requests sent and
// the violations found.
type Step struct {
	Number int      `json:"number"`
	Faults []string `json:"faults"`
	// Requests is the number of requests sent in the step. Completed, Refused,
	// Unknown and Abandoned are the numbers of requests with each final
	// outcome. A request is abandoned if its caller left.
	Requests  int       `json:"requests"`
	Completed int       `json:"completed"`
	Refused   int       `json:"refused"`
	Unknown   int       `json:"unknown"`
	Abandoned int       `json:"abandoned"`
	Failures  []Failure `json:"failures,omitempty"`
}

// String describes the step in one line, followed by one line for each failure.
func (s Step) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "step %d: %s: %d requests, %d completed, %d refused, %d unknown, %d abandoned",
		s.Number, strings.Join(s.Faults, "; "), s.Requests, s.Completed, s.Refused, s.Unknown, s.Abandoned)
	for _, f := range s.Failures {
		fmt.Fprintf(&out, "\n  %s: %s", f.Guarantee, f.Detail)
	}
	return out.String()
}

// Report is the result of a run.
type Report struct {
	Seed      uint64 `json:"seed"`
	Instances int    `json:"instances"`
	Steps     []Step `json:"steps"`
}

// FailureCount returns the number of guarantee violations of all steps.
func (r Report) FailureCount() int {
	count := 0
	for _, s := range r.Steps {
		count += len(s.Failures)
	}
	return count
}
