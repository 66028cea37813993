package chaos

import (
	"fmt"
	"sync"

	"bergamotpin.example/bergamotpin/schedcore"
)

// maxAudits bounds the findings of a step that are kept.
const maxAudits = 10

// audits gathers what the auditors of all schedulers find. It is safe for
// concurrent use.
type audits struct {
	mu    sync.Mutex
	found []Failure
	more  int
}

// note takes one finding.
func (a *audits) note(instance, model string, v schedcore.Violation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.found) == maxAudits {
		a.more++
		return
	}
	a.found = append(a.found, Failure{Scheduling, fmt.Sprintf("%s: %s: %s", instance, model, v)})
}

// take returns the findings since the last call.
func (a *audits) take() []Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.found
	if a.more > 0 {
		out = append(out, Failure{Scheduling, fmt.Sprintf("and %d more findings", a.more)})
	}
	a.found, a.more = nil, 0
	return out
}
