package bench

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// auditWorkload has a class each of tiers 0, 1 and 2. The lowest has a floor
// of one slot.
func auditWorkload() *Workload {
	return &Workload{
		Engines: engines(1, false),
		Classes: []ClassLoad{
			{Class: schedcore.Class{Name: "top", Tier: 0}, Idempotent: true},
			{Class: schedcore.Class{Name: "middle", Tier: 1}, Idempotent: true},
			{Class: schedcore.Class{Name: "low", Tier: 2, Floor: 1.0 / engineBatch}, Idempotent: true},
		},
	}
}

type auditCase struct {
	name string
	// waiting and running list the classes of requests before the tick.
	waiting []int
	running []int
	// refused, granted and preempted are indices into waiting, then running.
	refused   []int
	granted   []int
	preempted []int
	reason    outcome.Reason
	want      int
}

func TestInversionCheck(t *testing.T) {
	cases := []auditCase{
		{name: "nothing lower", waiting: []int{0, 0}, refused: []int{0}, reason: outcome.QueueFull},
		{name: "lower waits", waiting: []int{0, 2}, refused: []int{0}, reason: outcome.QueueFull, want: 1},
		{name: "lower goes too", waiting: []int{0, 2}, refused: []int{0, 1}, reason: outcome.Evicted},
		{name: "lower admitted by its floor", waiting: []int{0, 2}, refused: []int{0}, granted: []int{1}, reason: outcome.QueueFull},
		{name: "lower admitted past its floor", waiting: []int{0, 2}, running: []int{2}, refused: []int{0}, granted: []int{1}, reason: outcome.Infeasible, want: 1},
		{name: "higher waits", waiting: []int{0, 2}, refused: []int{1}, reason: outcome.QueueFull},
		{name: "failure isn't load", waiting: []int{0, 2}, refused: []int{0}, reason: outcome.StreamCut},
		{name: "preempted while lower waits", waiting: []int{2}, running: []int{1}, preempted: []int{1}, want: 1},
		{name: "preempted with nothing lower", waiting: []int{0}, running: []int{2}, preempted: []int{1}},
		{name: "refused while the preempted waits", waiting: []int{1}, running: []int{2}, refused: []int{0}, preempted: []int{1}, reason: outcome.QueueFull, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { runAuditCase(t, c) })
	}
}

func runAuditCase(t *testing.T, c auditCase) {
	w := auditWorkload()
	all := append(append([]int(nil), c.waiting...), c.running...)
	a := newAudit(w, len(all))
	requests := make([]request, len(all))
	for i, class := range all {
		requests[i] = request{id: newID(i), class: class}
		a.ticket(int32(i), &requests[i], i >= len(c.waiting), 0)
	}
	var out schedcore.Output
	for _, i := range c.refused {
		out.Refusals = append(out.Refusals, schedcore.Refusal{ID: newID(i), Final: outcome.Refused, Reason: c.reason})
	}
	for _, i := range c.granted {
		out.Grants = append(out.Grants, schedcore.Grant{ID: newID(i), Attempt: 1})
	}
	for _, i := range c.preempted {
		out.Preemptions = append(out.Preemptions, schedcore.Preemption{ID: newID(i)})
	}
	a.check(requests, &out, 0)
	if a.inversions != c.want {
		t.Errorf("counted %d inversions, want %d", a.inversions, c.want)
	}
	if len(a.violations) > 0 {
		t.Errorf("violations %v, want none", a.violations)
	}
}

func TestViolationsAreCounted(t *testing.T) {
	w := auditWorkload()
	w.Classes[0].Idempotent = false
	a := newAudit(w, 1)
	requests := []request{{id: newID(0), mayHaveRun: true, attempt: 1}}
	a.ticket(0, &requests[0], false, 0)
	again := schedcore.Output{Grants: []schedcore.Grant{{ID: newID(0), Attempt: 1}}}
	a.check(requests, &again, 0)
	a.check(requests, &again, 0)
	refused := schedcore.Output{Refusals: []schedcore.Refusal{{ID: newID(0), Final: outcome.Refused}}}
	a.check(requests, &refused, 0)
	a.check(requests, &refused, 0)
	for _, name := range []string{
		"second_run_not_idempotent", "attempt_not_rising", "grant_not_waiting",
		"refused_but_may_have_run", "second_answer",
	} {
		if a.violations[name] != 1 {
			t.Errorf("%s counted %d times, want 1", name, a.violations[name])
		}
	}
}

// TestRefusalTicks counts from the start of the last wait, not from before a
// run that was preempted.
func TestRefusalTicks(t *testing.T) {
	w := auditWorkload()
	w.Classes[1].MaxWait = time.Second
	a := newAudit(w, 2)
	requests := []request{{id: newID(0), class: 1}, {id: newID(1), class: 1}}
	a.ticket(0, &requests[0], false, 0)
	a.ticket(1, &requests[1], true, 0)
	preempted := schedcore.Output{Preemptions: []schedcore.Preemption{{ID: newID(1)}}}
	a.check(requests, &preempted, 10*time.Second)
	refuse := func(i int, now time.Duration) {
		out := schedcore.Output{Refusals: []schedcore.Refusal{{
			ID: newID(i), Final: outcome.Unknown, Reason: outcome.WaitExceeded,
		}}}
		a.check(requests, &out, now)
	}
	refuse(1, 11*time.Second)
	if a.maxRefusalTicks != 0 {
		t.Errorf("refused in time after a preemption, counted %d ticks", a.maxRefusalTicks)
	}
	refuse(0, time.Second+4*tickEvery+firstTickSlack)
	if a.maxRefusalTicks != 4 {
		t.Errorf("refused 4 ticks late, counted %d", a.maxRefusalTicks)
	}
}
