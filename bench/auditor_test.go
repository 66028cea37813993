package bench

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// auditWorkload has one class each in tiers 0, 1 and 2. The class in tier 2 has
// a floor of one slot.
func auditWorkload() *Workload {
	return &Workload{
		Engines: engines(1, false),
		Classes: []ClassLoad{
			{Class: schedcore.Class{Name: "top", Tier: 0}, Idempotent: true},
			{Class: schedcore.Class{Name: "middle", Tier: 1}, Idempotent: true},
			{Class: schedcore.Class{Name: "low", Tier: 2, Floor: 1.0 / engineBatchSize}, Idempotent: true},
		},
	}
}

type auditCase struct {
	name string
	// waiting and running list the classes of the requests before the tick.
	waiting []int
	running []int
	// refused, granted and preempted are indexes into waiting followed by
	// running.
	refused   []int
	granted   []int
	preempted []int
	// reason is the reason of all refusals of the case.
	reason         outcome.Reason
	wantInversions int
}

// TestInversionCheck checks which refusals and preemptions of a tick the auditor
// counts as priority inversions.
func TestInversionCheck(t *testing.T) {
	cases := []auditCase{
		{name: "no lower tier", waiting: []int{0, 0}, refused: []int{0}, reason: outcome.QueueFull},
		{name: "lower tier waits", waiting: []int{0, 2}, refused: []int{0}, reason: outcome.QueueFull, wantInversions: 1},
		{name: "lower tier refused too", waiting: []int{0, 2}, refused: []int{0, 1}, reason: outcome.Evicted},
		{name: "lower tier granted within its floor", waiting: []int{0, 2}, refused: []int{0}, granted: []int{1}, reason: outcome.QueueFull},
		{name: "lower tier granted beyond its floor", waiting: []int{0, 2}, running: []int{2}, refused: []int{0}, granted: []int{1}, reason: outcome.Infeasible, wantInversions: 1},
		{name: "higher tier waits", waiting: []int{0, 2}, refused: []int{1}, reason: outcome.QueueFull},
		{name: "refused for a failure", waiting: []int{0, 2}, refused: []int{0}, reason: outcome.StreamCut},
		{name: "preempted while a lower tier waits", waiting: []int{2}, running: []int{1}, preempted: []int{1}, wantInversions: 1},
		{name: "preempted without a lower tier", waiting: []int{0}, running: []int{2}, preempted: []int{1}},
		{name: "refused while a preempted lower tier waits", waiting: []int{1}, running: []int{2}, refused: []int{0}, preempted: []int{1}, reason: outcome.QueueFull, wantInversions: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { runAuditCase(t, c) })
	}
}

func runAuditCase(t *testing.T, c auditCase) {
	w := auditWorkload()
	classes := append(append([]int(nil), c.waiting...), c.running...)
	a := newAuditor(w, len(classes))
	requests := make([]request, len(classes))
	for i, class := range classes {
		requests[i] = request{id: newRequestID(i), class: class}
		a.addTicket(int32(i), &requests[i], i >= len(c.waiting), 0)
	}
	var out schedcore.Output
	for _, i := range c.refused {
		out.Refusals = append(out.Refusals, schedcore.Refusal{ID: newRequestID(i), Final: outcome.Refused, Reason: c.reason})
	}
	for _, i := range c.granted {
		out.Grants = append(out.Grants, schedcore.Grant{ID: newRequestID(i), Attempt: 1})
	}
	for _, i := range c.preempted {
		out.Preemptions = append(out.Preemptions, schedcore.Preemption{ID: newRequestID(i)})
	}
	a.checkTick(requests, &out, 0)
	if a.inversions != c.wantInversions {
		t.Errorf("counted %d inversions, want %d", a.inversions, c.wantInversions)
	}
	if len(a.violations) > 0 {
		t.Errorf("violations %v, want none", a.violations)
	}
}

// TestViolationsAreCounted grants and refuses the same request twice, and
// checks that the auditor counts one violation of each guarantee broken.
func TestViolationsAreCounted(t *testing.T) {
	w := auditWorkload()
	w.Classes[0].Idempotent = false
	a := newAuditor(w, 1)
	requests := []request{{id: newRequestID(0), mayHaveRun: true, attempt: 1}}
	a.addTicket(0, &requests[0], false, 0)
	grant := schedcore.Output{Grants: []schedcore.Grant{{ID: newRequestID(0), Attempt: 1}}}
	a.checkTick(requests, &grant, 0)
	a.checkTick(requests, &grant, 0)
	refusal := schedcore.Output{Refusals: []schedcore.Refusal{{ID: newRequestID(0), Final: outcome.Refused}}}
	a.checkTick(requests, &refusal, 0)
	a.checkTick(requests, &refusal, 0)
	for _, name := range []string{
		"second_run_not_idempotent", "attempt_not_rising", "grant_not_waiting",
		"refused_but_may_have_run", "second_answer",
	} {
		if a.violations[name] != 1 {
			t.Errorf("violation %s counted %d times, want 1", name, a.violations[name])
		}
	}
}

// TestRefusalTicksCountFromTheLastWait checks that the delay of a refusal
// counts from the start of the last wait, not from the start of the wait before
// a preempted attempt.
func TestRefusalTicksCountFromTheLastWait(t *testing.T) {
	w := auditWorkload()
	w.Classes[1].MaxWait = time.Second
	a := newAuditor(w, 2)
	requests := []request{{id: newRequestID(0), class: 1}, {id: newRequestID(1), class: 1}}
	a.addTicket(0, &requests[0], false, 0)
	a.addTicket(1, &requests[1], true, 0)
	preempted := schedcore.Output{Preemptions: []schedcore.Preemption{{ID: newRequestID(1)}}}
	a.checkTick(requests, &preempted, 10*time.Second)
	refuse := func(i int, now time.Duration) {
		out := schedcore.Output{Refusals: []schedcore.Refusal{{
			ID: newRequestID(i), Final: outcome.Unknown, Reason: outcome.WaitExceeded,
		}}}
		a.checkTick(requests, &out, now)
	}
	refuse(1, 11*time.Second)
	if a.refusalTicks != 0 {
		t.Errorf("a request refused in time after a preemption counted as %d ticks late, want 0", a.refusalTicks)
	}
	refuse(0, time.Second+4*tickInterval+maxTicketDelay)
	if a.refusalTicks != 4 {
		t.Errorf("a request refused 4 ticks late counted as %d ticks late, want 4", a.refusalTicks)
	}
}
