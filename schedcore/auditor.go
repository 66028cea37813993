package schedcore

import (
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Rule names a guarantee that an Auditor checks.
type Rule uint8

// The rules.
const (
	// RuleInversion: a request was refused for capacity, evicted or preempted
	// at a tick that left one of a lower tier waiting or admitted one outside
	// its class's floor.
	RuleInversion Rule = iota + 1
	// RuleFloor: a grant from a floor went beyond the floor.
	RuleFloor
	// RuleRepeat: a request was granted again while it ran, or after it ended,
	// or after it may have started although it is not idempotent.
	RuleRepeat
	// RuleServer: a grant named a server that is unknown or drains.
	RuleServer
	// RuleFinal: an answer to a request that has none to get, or a claim that
	// a request was not run that may have been.
	RuleFinal
	// RulePreempt: a preemption of a request that does not run, is not
	// idempotent, or serves no higher tier.
	RulePreempt
)

var ruleNames = [...]string{"invalid", "inversion", "floor", "repeat", "server", "final", "preempt"}

// String returns the rule's name.
func (r Rule) String() string {
	if int(r) >= len(ruleNames) {
		return ruleNames[0]
	}
	return ruleNames[r]
}

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule
	ID     RequestID
	Detail string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %x: %s", v.Rule, v.ID, v.Detail)
}

// IsCapacityRefusal reports whether a refusal for this reason means that the pool
// had no room. DeadlinePassed counts only for a request that waited.
// RetryBudgetSpent counts, because the budget protects the pool.
func IsCapacityRefusal(r outcome.Reason) bool {
	switch r {
	case outcome.Infeasible, outcome.QueueFull, outcome.Evicted, outcome.WaitExceeded,
		outcome.DeadlinePassed, outcome.NoBackendServer, outcome.RetryBudgetSpent:
		return true
	}
	return false
}

// audited is the auditor's own account of a request.
type audited struct {
	tier       int
	class      string
	idempotent bool
	state      requestState
	attempt    uint32
	delivered  bool
	maybeRan   bool
	referred   bool
	racing     bool // claimed at the tick of its ticket
	left       bool // withdrawn at the tick of its failure, which may be answered
	since      time.Duration
	server     string
}

// Auditor checks a core's decisions against its guarantees. It keeps its own
// account from the inputs and outputs alone, and works for any decider with
// the same messages. It is meant for tests, benchmarks and debugging: it scans
// the waiting and running requests at each tick.
type Auditor struct {
	opts     Options
	classes  map[string]Class
	servers  map[string]Server
	requests map[RequestID]*audited
	live     map[RequestID]*audited // those that wait or run
	ended    []endedRequest         // the others, the oldest first
	races    []*audited             // those with racing or left set
	running  map[string]int         // by class
	found    []Violation
}

// NewAuditor returns an auditor for a core with the same options.
func NewAuditor(opts Options) *Auditor {
	return &Auditor{
		opts:     opts.withDefaults(),
		classes:  make(map[string]Class),
		servers:  make(map[string]Server),
		requests: make(map[RequestID]*audited),
		live:     make(map[RequestID]*audited),
		running:  make(map[string]int),
	}
}

// Check takes the input and output of a tick and the core's capacity after it,
// and returns the violations. The result is valid until the next call.
func (a *Auditor) Check(now time.Duration, in *Input, out *Output, capacity int) []Violation {
	a.found = a.found[:0]
	a.forget(now)
	a.take(now, in)
	shed := noTier
	for i := range out.Preemptions {
		shed = min(shed, a.preempted(now, &out.Preemptions[i]))
	}
	for i := range out.Refusals {
		shed = min(shed, a.refused(now, &out.Refusals[i]))
	}
	for i := range out.Referrals {
		a.referred(now, &out.Referrals[i])
	}
	a.countRunning()
	for i := range out.Grants {
		a.granted(&out.Grants[i], capacity, shed)
	}
	a.checkWaiting(shed)
	a.endRaces()
	a.checkPreemptions(out)
	return a.found
}

func (a *Auditor) endRaces() {
	for _, r := range a.races {
		r.racing, r.left = false, false
	}
	a.races = a.races[:0]
}

func (a *Auditor) fail(rule Rule, id RequestID, format string, args ...any) {
	a.found = append(a.found, Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// forget drops requests that the core no longer remembers either.
func (a *Auditor) forget(now time.Duration) {
	for len(a.ended) > 0 && now-a.ended[0].at > 2*endedLife {
		id := a.ended[0].id
		if r := a.requests[id]; r != nil && r.state == stateFree {
			delete(a.requests, id)
		}
		a.ended = a.ended[1:]
	}
}

func (a *Auditor) countRunning() {
	clear(a.running)
	for _, r := range a.live {
		if r.state == stateRunning {
			a.running[r.class]++
		}
	}
}

func (a *Auditor) preempted(now time.Duration, p *Preemption) int {
	r := a.requests[p.ID]
	if r == nil || r.state != stateRunning || r.attempt != p.Attempt || r.server != p.Server {
		a.fail(RulePreempt, p.ID, "attempt %d does not run", p.Attempt)
		return noTier
	}
	if !r.idempotent {
		a.fail(RulePreempt, p.ID, "not idempotent")
	}
	r.state = stateWaiting
	r.maybeRan = true
	r.since = now
	return r.tier
}

// checkPreemptions requires a grant to a higher tier for each preemption.
func (a *Auditor) checkPreemptions(out *Output) {
	for i := range out.Preemptions {
		p := &out.Preemptions[i]
		victim := a.requests[p.ID]
		if victim == nil {
			continue
		}
		served := false
		for k := range out.Grants {
			g := &out.Grants[k]
			if r := a.requests[g.ID]; r != nil && g.Server == p.Server && r.tier < victim.tier {
				served = true
				break
			}
		}
		if !served {
			a.fail(RulePreempt, p.ID, "no higher tier was granted on %s", p.Server)
		}
	}
}

func (a *Auditor) refused(now time.Duration, f *Refusal) int {
	r := a.requests[f.ID]
	if r != nil && r.left {
		r.left = false
		return noTier
	}
	if r == nil || r.state == stateFree {
		a.fail(RuleFinal, f.ID, "answered %s, %s without need", f.Final, f.Reason)
		return noTier
	}
	ran := r.maybeRan || r.state == stateRunning
	if f.Final == outcome.Refused && ran && !r.racing {
		a.fail(RuleFinal, f.ID, "may have run, told it was not")
	}
	if f.Final != outcome.Refused && f.Final != outcome.Unknown {
		a.fail(RuleFinal, f.ID, "final answer %s", f.Final)
	}
	capacity := IsCapacityRefusal(f.Reason) && r.state == stateWaiting
	if f.Reason == outcome.DeadlinePassed && r.since == now {
		capacity = false
	}
	a.end(now, f.ID, r)
	if !capacity {
		return noTier
	}
	return r.tier
}

func (a *Auditor) end(now time.Duration, id RequestID, r *audited) {
	r.state = stateFree
	delete(a.live, id)
	a.ended = append(a.ended, endedRequest{id: id, at: now})
}

func (a *Auditor) referred(now time.Duration, f *Referral) {
	r := a.requests[f.ID]
	if r == nil || r.state != stateWaiting || r.maybeRan {
		a.fail(RuleFinal, f.ID, "referred without need or after it may have run")
		return
	}
	a.end(now, f.ID, r)
	r.referred = true
}

func (a *Auditor) granted(g *Grant, capacity, shed int) {
	r := a.requests[g.ID]
	switch {
	case r == nil || r.state != stateWaiting:
		a.fail(RuleRepeat, g.ID, "granted but does not wait")
		return
	case g.Attempt <= r.attempt:
		a.fail(RuleRepeat, g.ID, "attempt %d after %d", g.Attempt, r.attempt)
	case r.maybeRan && !r.idempotent:
		a.fail(RuleRepeat, g.ID, "not idempotent, may have run")
	}
	if s, ok := a.servers[g.Server]; !ok || s.Drain {
		a.fail(RuleServer, g.ID, "granted to %q", g.Server)
	}
	if g.Floor {
		a.checkFloor(g, r, capacity)
	}
	if r.tier > shed && !g.Floor {
		a.fail(RuleInversion, g.ID, "tier %d granted outside its floor, tier %d shed", r.tier, shed)
	}
	a.running[r.class]++
	r.state = stateRunning
	r.attempt = g.Attempt
	r.server = g.Server
}

func (a *Auditor) checkFloor(g *Grant, r *audited, capacity int) {
	share := min(max(a.classes[r.class].Floor, a.opts.MinFloor), 1) * float64(capacity)
	if n := a.running[r.class]; n > 0 && n+1 > int(share) {
		a.fail(RuleFloor, g.ID, "class %s runs %d, its floor is %.2f slots", r.class, n, share)
	}
}

func (a *Auditor) checkWaiting(shed int) {
	if shed == noTier {
		return
	}
	for id, r := range a.live {
		if r.state == stateWaiting && r.tier > shed {
			a.fail(RuleInversion, id, "tier %d left waiting, tier %d shed", r.tier, shed)
			return
		}
	}
}
