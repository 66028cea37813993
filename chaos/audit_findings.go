package chaos

import (
	"fmt"
	"sync"

	"bergamotpin.example/bergamotpin/schedcore"
)

// maxFindings is how many auditor findings the report lists for each step.
// Further findings are only counted.
const maxFindings = 10

// auditFindings collects the rule violations that the schedulers' auditors
// report. It is safe for concurrent use.
type auditFindings struct {
	mu           sync.Mutex
	failures     []Failure
	omittedCount int // findings that are counted but not in failures
}

// add records one rule violation. Once maxFindings violations are recorded, add
// only counts the violation.
func (a *auditFindings) add(instance, model string, violation schedcore.Violation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.failures) == maxFindings {
		a.omittedCount++
		return
	}
	a.failures = append(a.failures, Failure{Scheduling, fmt.Sprintf("%s: %s: %s", instance, model, violation)})
}

// takeFailures returns the findings and removes them.
func (a *auditFindings) takeFailures() []Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.failures
	if a.omittedCount > 0 {
		out = append(out, Failure{Scheduling, fmt.Sprintf("and %d more auditor findings", a.omittedCount)})
	}
	a.failures, a.omittedCount = nil, 0
	return out
}
