package schedcore

import (
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Rule names a guarantee that an Auditor checks.
type Rule uint8

// The rules that an Auditor checks.
const (
	// RuleInversion is violated if a request was refused for capacity, evicted
	// or preempted at a tick, and at the same tick a request of a lower tier
	// was left waiting or was granted a slot outside its class's floor.
	RuleInversion Rule = iota + 1
	// RuleFloor is violated if a grant from a floor exceeds that floor.
	RuleFloor
	// RuleDuplicateGrant is violated if a running or ended request was granted,
	// or if a request that is not idempotent was granted after it may have
	// started.
	RuleDuplicateGrant
	// RuleServer is violated if a grant names an unknown or draining server.
	RuleServer
	// RuleOutcome is violated if a request that neither waited nor ran was
	// refused or referred, or if a request that may have run was reported as
	// not run.
	RuleOutcome
	// RulePreemption is violated if a preempted request was not running, is not
	// idempotent, or made room for no higher tier.
	RulePreemption
)

var ruleNames = [...]string{"invalid", "inversion", "floor", "repeat", "server", "final", "preempt"}

// String returns the rule's name.
func (r Rule) String() string {
	if int(r) >= len(ruleNames) {
		return ruleNames[0]
	}
	return ruleNames[r]
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	ID     RequestID
	Detail string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %x: %s", v.Rule, v.ID, v.Detail)
}

// IsCapacityRefusal reports whether a refusal for this reason means that the
// pool lacked capacity. The result is true for DeadlinePassed. A request that
// ran or arrived too late is refused for the same reason, though not for lack
// of capacity, so a caller must check whether the request waited. The result is
// true for RetryBudgetSpent, because the retry budget protects the pool's
// capacity.
func IsCapacityRefusal(r outcome.Reason) bool {
	switch r {
	case outcome.Infeasible, outcome.QueueFull, outcome.Evicted, outcome.WaitExceeded,
		outcome.DeadlinePassed, outcome.NoBackendServer, outcome.RetryBudgetSpent:
		return true
	}
	return false
}

// auditedRequest is the auditor's own record of a request.
type auditedRequest struct {
	tier            int
	class           string
	idempotent      bool
	state           requestState
	attempt         uint32
	tokensDelivered bool
	mayHaveRun      bool
	referred        bool
	claimedSameTick bool // claimed at the tick at which its first ticket arrived
	// withdrawnSameTick is set if the request's attempt failed and its
	// withdrawal arrived at this tick. The core applies failures first, so it
	// may have refused the request before it read the withdrawal.
	withdrawnSameTick bool
	waitingSince      time.Duration
	server            string
}

// Auditor checks a core's decisions against its guarantees. It builds its own
// records from inputs and outputs alone, so it can check any implementation
// that uses the same types. It is meant for tests, benchmarks and debugging,
// because it scans all waiting and running requests at each tick.
type Auditor struct {
	opts           Options
	classes        map[string]Class
	servers        map[string]Server
	requests       map[RequestID]*auditedRequest
	open           map[RequestID]*auditedRequest // requests that wait or run
	ended          []endedRequest                // requests that ended, oldest first
	sameTick       []*auditedRequest             // requests with claimedSameTick or withdrawnSameTick set
	runningByClass map[string]int                // number of running requests by class
	violations     []Violation
}

// NewAuditor returns an auditor for a core with the same options.
func NewAuditor(opts Options) *Auditor {
	return &Auditor{
		opts:           opts.withDefaults(),
		classes:        make(map[string]Class),
		servers:        make(map[string]Server),
		requests:       make(map[RequestID]*auditedRequest),
		open:           make(map[RequestID]*auditedRequest),
		runningByClass: make(map[string]int),
	}
}

// Check takes the time, input and output of a tick and the core's capacity
// after the tick, and returns the violations. The result is valid until the
// next call.
func (a *Auditor) Check(now time.Duration, in *Input, out *Output, capacity int) []Violation {
	a.violations = a.violations[:0]
	a.dropOldRequests(now)
	a.applyInput(now, in)
	shedTier := noTier
	for i := range out.Preemptions {
		shedTier = min(shedTier, a.checkPreemption(now, &out.Preemptions[i]))
	}
	for i := range out.Refusals {
		shedTier = min(shedTier, a.checkRefusal(now, &out.Refusals[i]))
	}
	for i := range out.Referrals {
		a.checkReferral(now, &out.Referrals[i])
	}
	a.countRunning()
	for i := range out.Grants {
		a.checkGrant(&out.Grants[i], capacity, shedTier)
	}
	a.checkWaiting(shedTier)
	a.clearSameTick()
	a.checkPreemptionGrants(out)
	return a.violations
}

func (a *Auditor) clearSameTick() {
	for _, r := range a.sameTick {
		r.claimedSameTick, r.withdrawnSameTick = false, false
	}
	a.sameTick = a.sameTick[:0]
}

func (a *Auditor) addViolation(rule Rule, id RequestID, format string, args ...any) {
	a.violations = append(a.violations, Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// dropOldRequests drops requests that ended more than twice endedLifetime ago.
// The core has forgotten these requests by then.
func (a *Auditor) dropOldRequests(now time.Duration) {
	for len(a.ended) > 0 && now-a.ended[0].at > 2*endedLifetime {
		id := a.ended[0].id
		if r := a.requests[id]; r != nil && r.state == stateInactive {
			delete(a.requests, id)
		}
		a.ended = a.ended[1:]
	}
}

func (a *Auditor) countRunning() {
	clear(a.runningByClass)
	for _, r := range a.open {
		if r.state == stateRunning {
			a.runningByClass[r.class]++
		}
	}
}

// checkPreemption checks a preemption. It returns the tier of the preempted
// request, or noTier if the request was not running.
func (a *Auditor) checkPreemption(now time.Duration, p *Preemption) int {
	r := a.requests[p.ID]
	if r == nil || r.state != stateRunning || r.attempt != p.Attempt || r.server != p.Server {
		a.addViolation(RulePreemption, p.ID, "attempt %d was preempted but was not running", p.Attempt)
		return noTier
	}
	if !r.idempotent {
		a.addViolation(RulePreemption, p.ID, "preempted but is not idempotent")
	}
	r.state = stateWaiting
	r.mayHaveRun = true
	r.waitingSince = now
	return r.tier
}

// checkPreemptionGrants checks that each preemption made room for a grant to
// a higher tier.
func (a *Auditor) checkPreemptionGrants(out *Output) {
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
			a.addViolation(RulePreemption, p.ID, "preempted but no higher tier was granted a slot on %s", p.Server)
		}
	}
}

// checkRefusal checks a refusal. It returns the tier of the request if the request
// was refused for lack of capacity, and noTier otherwise.
func (a *Auditor) checkRefusal(now time.Duration, f *Refusal) int {
	r := a.requests[f.ID]
	if r != nil && r.withdrawnSameTick {
		r.withdrawnSameTick = false
		return noTier
	}
	if r == nil || r.state == stateInactive {
		a.addViolation(RuleOutcome, f.ID, "refused as %s (%s) but was neither waiting nor running", f.Final, f.Reason)
		return noTier
	}
	ran := r.mayHaveRun || r.state == stateRunning
	if f.Final == outcome.Refused && ran && !r.claimedSameTick {
		a.addViolation(RuleOutcome, f.ID, "may have run but was reported as not run")
	}
	if f.Final != outcome.Refused && f.Final != outcome.Unknown {
		a.addViolation(RuleOutcome, f.ID, "refused with invalid final outcome %s", f.Final)
	}
	lackedCapacity := IsCapacityRefusal(f.Reason) && r.state == stateWaiting
	// A request whose deadline passed at the tick at which it was queued did
	// not wait for capacity.
	if f.Reason == outcome.DeadlinePassed && r.waitingSince == now {
		lackedCapacity = false
	}
	a.closeRequest(now, f.ID, r)
	if !lackedCapacity {
		return noTier
	}
	return r.tier
}

func (a *Auditor) closeRequest(now time.Duration, id RequestID, r *auditedRequest) {
	r.state = stateInactive
	delete(a.open, id)
	a.ended = append(a.ended, endedRequest{id: id, at: now})
}

func (a *Auditor) checkReferral(now time.Duration, f *Referral) {
	r := a.requests[f.ID]
	if r == nil || r.state != stateWaiting || r.mayHaveRun {
		a.addViolation(RuleOutcome, f.ID, "referred although it may have run or was not waiting")
		return
	}
	a.closeRequest(now, f.ID, r)
	r.referred = true
}

func (a *Auditor) checkGrant(g *Grant, capacity, shedTier int) {
	r := a.requests[g.ID]
	switch {
	case r == nil || r.state != stateWaiting:
		a.addViolation(RuleDuplicateGrant, g.ID, "granted but was not waiting")
		return
	case g.Attempt <= r.attempt:
		a.addViolation(RuleDuplicateGrant, g.ID, "granted attempt %d after attempt %d", g.Attempt, r.attempt)
	case r.mayHaveRun && !r.idempotent:
		a.addViolation(RuleDuplicateGrant, g.ID, "granted again although it may have run and is not idempotent")
	}
	if s, ok := a.servers[g.Server]; !ok || s.Draining {
		a.addViolation(RuleServer, g.ID, "granted to unknown or draining server %q", g.Server)
	}
	if g.Floor {
		a.checkFloor(g, r, capacity)
	}
	if r.tier > shedTier && !g.Floor {
		a.addViolation(RuleInversion, g.ID, "tier %d was granted outside its floor while tier %d was refused or preempted", r.tier, shedTier)
	}
	a.runningByClass[r.class]++
	r.state = stateRunning
	r.attempt = g.Attempt
	r.server = g.Server
}

func (a *Auditor) checkFloor(g *Grant, r *auditedRequest, capacity int) {
	floor := min(max(a.classes[r.class].Floor, a.opts.MinFloor), 1) * float64(capacity)
	if n := a.runningByClass[r.class]; n > 0 && n+1 > int(floor) {
		a.addViolation(RuleFloor, g.ID, "class %s was granted a floor slot with %d running, but its floor is %.2f slots", r.class, n, floor)
	}
}

func (a *Auditor) checkWaiting(shedTier int) {
	if shedTier == noTier {
		return
	}
	for id, r := range a.open {
		if r.state == stateWaiting && r.tier > shedTier {
			a.addViolation(RuleInversion, id, "tier %d was left waiting while tier %d was refused or preempted", r.tier, shedTier)
			return
		}
	}
}
