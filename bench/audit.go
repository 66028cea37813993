package bench

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// standing is what the scheduler must hold of a request, by what it was sent
// and what it answered.
type standing uint8

const (
	standingNone standing = iota
	standingWaiting
	standingRunning
	standingGone
)

// firstTickSlack is what passes at most from a request's arrival to the first
// tick that sees it.
const firstTickSlack = tickEvery + networkDelay

// audit checks each tick's decisions against the promises. It keeps its own
// tables and shares nothing with the core.
type audit struct {
	w        *Workload
	standing []standing
	classOf  []int
	// waitsFrom is the start of a request's last wait.
	waitsFrom []time.Duration
	// waiting, running and grantedNow count requests by class.
	waiting    []int
	running    []int
	grantedNow []int
	// floorSlots is the number of slots that a class's floor reserves.
	floorSlots []int
	inversions int
	violations map[string]int
	// since is when the present scheduler began.
	since time.Duration
	// maxRefusalTicks is the longest time, in ticks, from the end of a
	// request's allowed wait, if it has one, to its refusal. Time without a
	// scheduler doesn't count.
	maxRefusalTicks int
	// pastDeadline counts refusals at or after the caller's deadline.
	pastDeadline int
}

func newAudit(w *Workload, requests int) audit {
	a := audit{
		w:          w,
		waiting:    make([]int, len(w.Classes)),
		running:    make([]int, len(w.Classes)),
		grantedNow: make([]int, len(w.Classes)),
		violations: make(map[string]int),
	}
	// A policy may learn that engines take more than it was told.
	slots := float64(len(w.Engines) * max(w.slots(), engineBatch))
	for _, c := range w.Classes {
		a.floorSlots = append(a.floorSlots, max(int(c.Floor*slots), 1))
	}
	a.grow(requests)
	return a
}

func (a *audit) grow(requests int) {
	for len(a.standing) < requests {
		a.standing = append(a.standing, standingNone)
		a.classOf = append(a.classOf, -1)
		a.waitsFrom = append(a.waitsFrom, 0)
	}
}

// forget drops all standings: the scheduler is a fresh one.
func (a *audit) forget(now time.Duration) {
	a.since = now
	clear(a.standing)
	clear(a.waiting)
	clear(a.running)
}

func (a *audit) set(i int32, next standing) {
	class := a.classOf[i]
	switch a.standing[i] {
	case standingWaiting:
		a.waiting[class]--
	case standingRunning:
		a.running[class]--
	}
	a.standing[i] = next
	switch next {
	case standingWaiting:
		a.waiting[class]++
	case standingRunning:
		a.running[class]++
	}
}

// ticket takes a request in. A ticket doesn't say when the wait after its last
// attempt began, so that it begins anew at a fresh scheduler.
func (a *audit) ticket(i int32, r *request, running bool, now time.Duration) {
	a.classOf[i] = r.class
	a.waitsFrom[i] = r.arrived
	if r.attempt > 0 {
		a.waitsFrom[i] = now
	}
	if running {
		a.set(i, standingRunning)
		return
	}
	a.set(i, standingWaiting)
}

func (a *audit) failed(i int32, now time.Duration) {
	if a.standing[i] == standingRunning {
		a.set(i, standingWaiting)
		a.waitsFrom[i] = now
	}
}

// ended takes the end of an attempt. One that its preemption crossed on the way
// is dropped: the request waits until its entry instance withdraws it.
func (a *audit) ended(i int32) {
	if a.standing[i] != standingWaiting {
		a.gone(i)
	}
}

func (a *audit) gone(i int32) {
	if a.standing[i] != standingNone {
		a.set(i, standingGone)
	}
}

// check takes one tick's decisions in, before they are carried out.
func (a *audit) check(requests []request, out *schedcore.Output, now time.Duration) {
	clear(a.grantedNow)
	for _, p := range out.Preemptions {
		a.preempted(requests, p, now)
	}
	for _, r := range out.Refusals {
		a.refused(requests, r, now)
	}
	for _, g := range out.Grants {
		a.granted(requests, g)
	}
	for _, r := range out.Referrals {
		a.gone(indexOf(r.ID))
	}
	for _, p := range out.Preemptions {
		a.countInversion(a.classOf[indexOf(p.ID)])
	}
	for _, r := range out.Refusals {
		if overload(r.Reason) {
			a.countInversion(a.classOf[indexOf(r.ID)])
		}
	}
}

func (a *audit) preempted(requests []request, p schedcore.Preemption, now time.Duration) {
	i := indexOf(p.ID)
	if a.standing[i] != standingRunning {
		a.violations["preempted_not_running"]++
		return
	}
	if !a.w.Classes[requests[i].class].Idempotent {
		a.violations["preempted_not_idempotent"]++
	}
	a.set(i, standingWaiting)
	a.waitsFrom[i] = now
}

func (a *audit) refused(requests []request, f schedcore.Refusal, now time.Duration) {
	i := indexOf(f.ID)
	r := &requests[i]
	if a.standing[i] == standingNone || a.standing[i] == standingGone {
		a.violations["second_answer"]++
		return
	}
	a.set(i, standingGone)
	if f.Final == outcome.Refused && r.mayHaveRun {
		a.violations["refused_but_may_have_run"]++
	}
	if !overload(f.Reason) {
		return
	}
	load := &a.w.Classes[r.class]
	if allowed := allowedWait(r, load); allowed > 0 {
		bound := max(a.waitsFrom[i]+allowed, a.since)
		late := int((now - bound - firstTickSlack) / tickEvery)
		a.maxRefusalTicks = max(a.maxRefusalTicks, late)
	}
	if load.Deadline > 0 && now >= r.arrived+load.Deadline {
		a.pastDeadline++
	}
}

func (a *audit) granted(requests []request, g schedcore.Grant) {
	i := indexOf(g.ID)
	r := &requests[i]
	if a.standing[i] != standingWaiting {
		a.violations["grant_not_waiting"]++
		return
	}
	if r.mayHaveRun && !a.w.Classes[r.class].Idempotent {
		a.violations["second_run_not_idempotent"]++
	}
	if g.Attempt <= r.attempt {
		a.violations["attempt_not_rising"]++
	}
	a.set(i, standingRunning)
	a.grantedNow[r.class]++
}

// allowedWait is how long a request may wait at once. The target for the first
// token counts until that token came. Zero means no bound.
func allowedWait(r *request, load *ClassLoad) time.Duration {
	if r.delivered > 0 {
		return load.MaxWait
	}
	return max(load.FirstToken, load.MaxWait)
}

// countInversion counts a shed request of the class if the tick left a request
// of a lower tier waiting, or admitted one outside its class's floor.
func (a *audit) countInversion(class int) {
	if class < 0 {
		return
	}
	tier := a.w.Classes[class].Tier
	for c := range a.w.Classes {
		if a.w.Classes[c].Tier <= tier {
			continue
		}
		outside := a.grantedNow[c] > 0 && a.running[c] > a.floorSlots[c]
		if a.waiting[c] > 0 || outside {
			a.inversions++
			return
		}
	}
}

// overload reports whether a refusal for the reason sheds load.
func overload(reason outcome.Reason) bool {
	switch reason {
	case outcome.Infeasible, outcome.QueueFull, outcome.Evicted, outcome.WaitExceeded,
		outcome.DeadlinePassed, outcome.NoBackendServer, outcome.RetryBudgetSpent,
		outcome.PoolPressure:
		return true
	}
	return false
}
