package chaos

import (
	"context"
	"fmt"
	"maps"
	"time"

	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/standin/answer"
)

const (
	// probeTime is for how long requests of each class are sent to see that it
	// is served.
	probeTime = 300 * time.Millisecond
	// seedsApart separates the requests of runs with neighbouring seeds.
	seedsApart = 1_000_000
	// comeBack is the share of refused callers that return when told to. Each
	// lengthens its step.
	comeBack = 0.3
)

// loaded is what came of a load.
type loaded struct {
	report loadgen.Report
	notRun []answer.Digest
	// overdue counts the requests without an outcome after RecoveryTimeout.
	overdue int64
	err     error
}

// send sends a workload to the instances that run now.
func (r *run) send(ctx context.Context, w loadgen.Workload, duration time.Duration) <-chan loaded {
	r.chunks++
	var out loaded
	checks := r.demo.RunCounts()
	promptRuns := checks.PromptRuns
	checks.PromptRuns = func(prompt answer.Digest) int {
		out.notRun = append(out.notRun, prompt)
		return promptRuns(prompt)
	}
	opts := loadgen.Options{
		Duration:  duration,
		Drain:     RecoveryTimeout,
		Workload:  w,
		Seed:      r.opts.Seed*seedsApart + uint64(r.chunks),
		RunCounts: checks,
	}
	for _, n := range r.alive() {
		opts.Addresses = append(opts.Addresses, n.Current().CallerAddress().String())
	}
	waits := &overdue{next: balanced(opts.Addresses)}
	opts.Transport = waits
	done := make(chan loaded, 1)
	go func() {
		out.report, out.err = loadgen.Run(ctx, opts)
		out.overdue = waits.count.Load()
		done <- out
	}()
	return done
}

// burst returns the step's workload.
func (r *run) burst(draws []fault) loadgen.Workload {
	w := r.workload
	for _, f := range draws {
		if f.bursts {
			class := pick(r.random, w.Classes).Name
			w = w.WithBurst(class, loadgen.Burst{At: faultsAfter, For: loadTime - faultsAfter, Factor: loadBurst})
		}
	}
	return w
}

// takeLoad takes the outcomes of a load.
func (s *step) takeLoad(l loaded) error {
	if l.err != nil {
		return l.err
	}
	s.result.Requests += l.report.Requests
	s.result.Completed += l.report.Completed
	s.result.Refused += l.report.Refused
	s.result.Unknown += l.report.Unknown
	s.result.Abandoned += l.report.Abandoned
	s.run.notRun = append(s.run.notRun, l.notRun...)
	for violation, count := range l.report.ByViolation {
		s.fail(WholeAnswers, fmt.Sprintf("%s %d times", violation, count))
	}
	if l.overdue > 0 {
		s.fail(FinalOutcomes, fmt.Sprintf("%d requests have no outcome after %v", l.overdue, RecoveryTimeout))
	}
	for _, class := range l.report.Classes {
		s.checkNothingCut(class)
	}
	return nil
}

// checkNothingCut requires of a step in which nothing but a drain or a leave
// happened that every request got a certain outcome.
func (s *step) checkNothingCut(class loadgen.ClassReport) {
	graceful := s.drain != nil || s.left
	if graceful && len(s.draws) == 1 && class.Unknown > 0 {
		s.fail(Draining, fmt.Sprintf("%d requests of class %s ended unknown over %s alone: %v", class.Unknown, class.Class, s.draws[0].name, class.Unknowns))
	}
}

// checkServed sends a little load until a request of each class completed.
func (s *step) checkServed(ctx context.Context) error {
	waiting := make(map[string]loadgen.ClassReport)
	for _, class := range s.run.workload.Classes {
		waiting[class.Name] = loadgen.ClassReport{}
	}
	deadline := time.Now().Add(RecoveryTimeout)
	for len(waiting) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		l := <-s.run.send(ctx, s.run.workload, probeTime)
		if err := s.takeLoad(l); err != nil {
			return err
		}
		for _, class := range l.report.Classes {
			if class.Completed > 0 {
				delete(waiting, class.Class)
			} else if _, still := waiting[class.Class]; still {
				waiting[class.Class] = class
			}
		}
	}
	for name, last := range waiting {
		s.fail(EveryClassServed, fmt.Sprintf("no request of class %s completed, last refusals %v, unknown %v", name, last.Refusals, last.Unknowns))
	}
	return nil
}

// checkRuns asks the backend servers again what they ran.
func (s *step) checkRuns() {
	promptRuns := s.run.demo.RunCounts().PromptRuns
	for _, prompt := range s.run.notRun {
		if promptRuns(prompt) > 0 && s.run.reports(fmt.Sprintf("%x", prompt)) {
			s.fail(WholeAnswers, fmt.Sprintf("prompt %x ran, its caller was told that it was not run", prompt))
		}
	}
	runs := make(map[string]int)
	for _, sv := range s.run.demo.Services() {
		for key, count := range sv.Counters().ByKey {
			runs[key] += count
		}
	}
	maps.DeleteFunc(runs, func(_ string, count int) bool { return count <= 1 })
	for key, count := range runs {
		if !s.run.reports(key) {
			continue
		}
		s.fail(AtMostOnce, fmt.Sprintf("key %s ran %d times", key, count))
	}
}

// reports notes a finding and tells whether it is the first of its name.
func (r *run) reports(name string) bool {
	if r.reported[name] {
		return false
	}
	r.reported[name] = true
	return true
}
