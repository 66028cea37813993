package chaos

import (
	"fmt"
	"log/slog"
	"strings"
	"time"
)

const (
	// DrainLimit is the time after which a draining server gets no new work.
	DrainLimit = 3 * time.Second
	// RecoveryTimeout bounds every wait for something that has to become true.
	RecoveryTimeout = 30 * time.Second
	// DefaultSteps is the number of steps if Options names none.
	DefaultSteps = 6
)

// Options sets up a run. The zero value of a field takes its default.
type Options struct {
	// Seed feeds all draws.
	Seed  uint64
	Steps int
	// Faults names the faults to draw from. Empty means all.
	Faults []string
	// Log receives the instances' logs. Nil drops them.
	Log *slog.Logger
	// OnStep is called after each step. Nil for none.
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

// Guarantee names what a check is about.
type Guarantee string

// The promises.
const (
	WholeAnswers     Guarantee = "answers"
	AtMostOnce       Guarantee = "at_most_once"
	Draining         Guarantee = "draining"
	Configuration    Guarantee = "configuration"
	FinalOutcomes    Guarantee = "answered"
	EveryClassServed Guarantee = "served"
	Scheduling       Guarantee = "scheduling"
)

// Failure is one broken promise.
type Failure struct {
	Guarantee Guarantee `json:"promise"`
	Detail    string    `json:"detail"`
}

// Step is what one step did and found.
type Step struct {
	Number int      `json:"number"`
	Faults []string `json:"faults"`
	// Requests counts those of the step, by final outcome.
	Requests  int       `json:"requests"`
	Completed int       `json:"completed"`
	Refused   int       `json:"refused"`
	Unknown   int       `json:"unknown"`
	Abandoned int       `json:"abandoned"`
	Failures  []Failure `json:"failures,omitempty"`
}

// String describes the step in one line, and each failure in another.
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

// Failures counts the broken promises of all steps.
func (r Report) Failures() int {
	count := 0
	for _, s := range r.Steps {
		count += len(s.Failures)
	}
	return count
}
