package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// auditState is the state that a request has at the scheduler. The auditor
// derives it from the messages that the scheduler received and the decisions
// that the scheduler made.
type auditState uint8

const (
	// stateUnknown is the state of a request that the scheduler doesn't know.
	stateUnknown auditState = iota
	stateWaiting
	stateRunning
	// stateEnded is the state of a request that completed, was refused, referred
	// or withdrawn.
	stateEnded
)

// maxTicketDelay is the longest time from a request's arrival to the first tick
// that sees its ticket.
const maxTicketDelay = tickInterval + networkDelay

// auditor checks each tick's decisions against the guarantees. It keeps its own
// tables and shares nothing with the core.
type auditor struct {
	workload *Workload
	states   []auditState
	// classOf is the index of each request's class, or -1 before the ticket of
	// the request arrives.
	classOf []int
	// waitStart holds the time at which each request's latest wait began.
	waitStart []time.Duration
	// waitingByClass and runningByClass count the requests in these states, by
	// class. grantedThisTick counts the grants of the tick being checked, by
	// class.
	waitingByClass  []int
	runningByClass  []int
	grantedThisTick []int
	// floorSlots is the number of slots reserved by each class's floor.
	floorSlots []int
	inversions int
	violations map[string]int
	// schedulerStart is the time at which the current scheduler started.
	schedulerStart time.Duration
	// refusalTicks is the longest delay, in ticks, from the end of a request's
	// allowed wait to the request's refusal. Requests whose wait has no bound
	// are left out. Time without a scheduler doesn't count as delay.
	refusalTicks int
	// refusedPastDeadline counts refusals at or after the caller's deadline.
	refusedPastDeadline int
}

func newAuditor(w *Workload, requests int) auditor {
	a := auditor{
		workload:        w,
		waitingByClass:  make([]int, len(w.Classes)),
		runningByClass:  make([]int, len(w.Classes)),
		grantedThisTick: make([]int, len(w.Classes)),
		violations:      make(map[string]int),
	}
	// A policy may learn that engines take more requests than it was told. A
	// floor is then a share of the larger number.
	slots := float64(len(w.Engines) * max(w.slots(), engineBatchSize))
	for _, c := range w.Classes {
		a.floorSlots = append(a.floorSlots, max(int(c.Floor*slots), 1))
	}
	a.grow(requests)
	return a
}

// grow extends the tables to the given number of requests.
func (a *auditor) grow(requests int) {
	for len(a.states) < requests {
		a.states = append(a.states, stateUnknown)
		a.classOf = append(a.classOf, -1)
		a.waitStart = append(a.waitStart, 0)
	}
}

// reset drops the states of all requests, because a new scheduler has started.
func (a *auditor) reset(now time.Duration) {
	a.schedulerStart = now
	clear(a.states)
	clear(a.waitingByClass)
	clear(a.runningByClass)
}

func (a *auditor) setState(i int32, next auditState) {
	class := a.classOf[i]
	switch a.states[i] {
	case stateWaiting:
		a.waitingByClass[class]--
	case stateRunning:
		a.runningByClass[class]--
	}
	a.states[i] = next
	switch next {
	case stateWaiting:
		a.waitingByClass[class]++
	case stateRunning:
		a.runningByClass[class]++
	}
}

// addTicket records a ticket. A request that had an attempt sends a ticket only
// to a new scheduler. Such a ticket doesn't say when the current wait began, so
// the wait counts from the arrival of the ticket.
func (a *auditor) addTicket(i int32, r *request, running bool, now time.Duration) {
	a.classOf[i] = r.class
	a.waitStart[i] = r.arrivedAt
	if r.attempt > 0 {
		a.waitStart[i] = now
	}
	if running {
		a.setState(i, stateRunning)
		return
	}
	a.setState(i, stateWaiting)
}

func (a *auditor) attemptFailed(i int32, now time.Duration) {
	if a.states[i] == stateRunning {
		a.setState(i, stateWaiting)
		a.waitStart[i] = now
	}
}

// attemptCompleted records a completion. A completion is ignored if the scheduler
// preempted the attempt while the report was on its way: the request then waits
// until its entry instance withdraws it.
func (a *auditor) attemptCompleted(i int32) {
	if a.states[i] != stateWaiting {
		a.requestEnded(i)
	}
}

func (a *auditor) requestEnded(i int32) {
	if a.states[i] != stateUnknown {
		a.setState(i, stateEnded)
	}
}

// checkTick checks and records the decisions of one tick, before they are
// carried out.
func (a *auditor) checkTick(requests []request, out *schedcore.Output, now time.Duration) {
	clear(a.grantedThisTick)
	for _, p := range out.Preemptions {
		a.checkPreemption(requests, p, now)
	}
	for _, r := range out.Refusals {
		a.checkRefusal(requests, r, now)
	}
	for _, g := range out.Grants {
		a.checkGrant(requests, g)
	}
	for _, r := range out.Referrals {
		a.requestEnded(requestIndex(r.ID))
	}
	for _, p := range out.Preemptions {
		a.countInversion(a.classOf[requestIndex(p.ID)])
	}
	for _, r := range out.Refusals {
		if shedsLoad(r.Reason) {
			a.countInversion(a.classOf[requestIndex(r.ID)])
		}
	}
}

func (a *auditor) checkPreemption(requests []request, p schedcore.Preemption, now time.Duration) {
	i := requestIndex(p.ID)
	if a.states[i] != stateRunning {
		a.violations["preempted_not_running"]++
		return
	}
	if !a.workload.Classes[requests[i].class].Idempotent {
		a.violations["preempted_not_idempotent"]++
	}
	a.setState(i, stateWaiting)
	a.waitStart[i] = now
}

func (a *auditor) checkRefusal(requests []request, refusal schedcore.Refusal, now time.Duration) {
	i := requestIndex(refusal.ID)
	r := &requests[i]
	if a.states[i] == stateUnknown || a.states[i] == stateEnded {
		a.violations["second_answer"]++
		return
	}
	a.setState(i, stateEnded)
	if refusal.Final == outcome.Refused && r.mayHaveRun {
		a.violations["refused_but_may_have_run"]++
	}
	if !shedsLoad(refusal.Reason) {
		return
	}
	load := &a.workload.Classes[r.class]
	if allowed := allowedWait(r, load); allowed > 0 {
		latestRefusal := max(a.waitStart[i]+allowed, a.schedulerStart)
		ticksLate := int((now - latestRefusal - maxTicketDelay) / tickInterval)
		a.refusalTicks = max(a.refusalTicks, ticksLate)
	}
	if load.Deadline > 0 && now >= r.arrivedAt+load.Deadline {
		a.refusedPastDeadline++
	}
}

func (a *auditor) checkGrant(requests []request, g schedcore.Grant) {
	i := requestIndex(g.ID)
	r := &requests[i]
	if a.states[i] != stateWaiting {
		a.violations["grant_not_waiting"]++
		return
	}
	if r.mayHaveRun && !a.workload.Classes[r.class].Idempotent {
		a.violations["second_run_not_idempotent"]++
	}
	if g.Attempt <= r.attempt {
		a.violations["attempt_not_rising"]++
	}
	a.setState(i, stateRunning)
	a.grantedThisTick[r.class]++
}

// allowedWait is how long one wait of a request may last. It is MaxWait, or the
// first-token target if that target is longer and the caller has received no
// token yet. Zero means no bound.
func allowedWait(r *request, load *ClassLoad) time.Duration {
	if r.deliveredTokens > 0 {
		return load.MaxWait
	}
	return max(load.FirstToken, load.MaxWait)
}

// countInversion checks for a priority inversion after a request of the class
// was refused for lack of capacity, or preempted. It counts an inversion if the
// same tick left a request of a lower tier waiting, or granted a request of a
// lower tier beyond its class's floor.
func (a *auditor) countInversion(class int) {
	if class < 0 {
		return
	}
	tier := a.workload.Classes[class].Tier
	for c := range a.workload.Classes {
		if a.workload.Classes[c].Tier <= tier {
			continue
		}
		beyondFloor := a.grantedThisTick[c] > 0 && a.runningByClass[c] > a.floorSlots[c]
		if a.waitingByClass[c] > 0 || beyondFloor {
			a.inversions++
			return
		}
	}
}

// shedsLoad reports whether a refusal with this reason is due to a lack of
// capacity.
func shedsLoad(reason outcome.Reason) bool {
	switch reason {
	case outcome.Infeasible, outcome.QueueFull, outcome.Evicted, outcome.WaitExceeded,
		outcome.DeadlinePassed, outcome.NoBackendServer, outcome.RetryBudgetSpent,
		outcome.NoFreeCapacity:
		return true
	}
	return false
}
