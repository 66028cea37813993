package chaos

import (
	"fmt"
	"sync"

	"bergamotpin.example/bergamotpin/schedcore"
)

// maxFindings bounds how many auditor findings of one step the report lists.
// The rest are only counted.
const maxFindings = 10

// auditFindings collects what the auditors of all schedulers report. It is safe
// for concurrent use.
type auditFindings struct {
	mu           sync.Mutex
	failures     []Failure
	omittedCount int
}

// add records one rule violation. Beyond maxFindings it only counts it.
func (a *auditFindings) add(instance, model string, violation schedcore.Violation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.failures) == maxFindings {
		a.omittedCount++
		return
	}
	a.failures = append(a.failures, Failure{Scheduling, fmt.Sprintf("%s: %s: %s", instance, model, violation)})
}

// takeFailures returns the findings recorded after the previous call.
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
