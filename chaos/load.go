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
	// probeDuration is the length of each load that checkEveryClassServed
	// sends.
	probeDuration = 300 * time.Millisecond
	// seedStride separates the load generator's seeds of different runs: the
	// seed of a load is Options.Seed times seedStride plus the load's number in
	// the run. Two loads of different runs then never have the same seed.
	seedStride = 1_000_000
	// returnShare is the share of refused callers that return after the
	// Retry-After time. Each returning caller prolongs the step.
	returnShare = 0.3
)

// loadResult is the outcome of one load.
type loadResult struct {
	report loadgen.Report
	// notRunPrompts holds the prompts whose callers were told that the request
	// was not run.
	notRunPrompts []answer.PromptDigest
	// overdue is the number of requests that had no outcome after
	// RecoveryTimeout.
	overdue int64
	err     error
}

// startLoad starts sending a workload to the instances that are running now. It
// returns a channel that gets the result once all requests have ended.
func (r *run) startLoad(ctx context.Context, workload loadgen.Workload, duration time.Duration) <-chan loadResult {
	r.loadCount++
	var result loadResult
	runCounts := r.demo.RunCounts()
	promptRuns := runCounts.PromptRuns
	// The load generator asks only for the runs of prompts whose callers were
	// told that the request was not run.
	runCounts.PromptRuns = func(prompt answer.PromptDigest) int {
		result.notRunPrompts = append(result.notRunPrompts, prompt)
		return promptRuns(prompt)
	}
	opts := loadgen.Options{
		Duration:     duration,
		DrainTimeout: RecoveryTimeout,
		Workload:     workload,
		Seed:         r.opts.Seed*seedStride + uint64(r.loadCount),
		RunCounts:    runCounts,
	}
	for _, instance := range r.aliveInstances() {
		opts.Addresses = append(opts.Addresses, instance.Current().CallerAddress().String())
	}
	counter := &overdueCounter{next: newFailoverTransport(opts.Addresses)}
	opts.Transport = counter
	done := make(chan loadResult, 1)
	go func() {
		result.report, result.err = loadgen.Run(ctx, opts)
		result.overdue = counter.count.Load()
		done <- result
	}()
	return done
}

// workloadWithBursts returns the workload of a step. For each burst among the
// faults, it adds a burst of a random class.
func (r *run) workloadWithBursts(faults []fault) loadgen.Workload {
	workload := r.workload
	for _, chosen := range faults {
		if chosen.isBurst {
			class := pick(r.random, workload.Classes).Name
			workload = workload.WithBurst(class, loadgen.Burst{Start: firstFaultDelay, Duration: loadDuration - firstFaultDelay, Factor: burstFactor})
		}
	}
	return workload
}

// recordLoad adds the outcomes of a load to the step and records its failures.
func (s *step) recordLoad(load loadResult) error {
	if load.err != nil {
		return load.err
	}
	s.result.Requests += load.report.Requests
	s.result.Completed += load.report.Completed
	s.result.Refused += load.report.Refused
	s.result.Unknown += load.report.Unknown
	s.result.Abandoned += load.report.Abandoned
	s.run.notRunPrompts = append(s.run.notRunPrompts, load.notRunPrompts...)
	for violation, count := range load.report.ByViolation {
		s.addFailure(CorrectAnswers, fmt.Sprintf("the load generator found %s %d times, want 0", violation, count))
	}
	if load.overdue > 0 {
		s.addFailure(TimelyOutcomes, fmt.Sprintf("%d requests had no outcome after %v, want 0", load.overdue, RecoveryTimeout))
	}
	for _, class := range load.report.Classes {
		s.checkNoUnknownOutcomes(class)
	}
	return nil
}

// checkNoUnknownOutcomes applies to steps whose only fault was a drain or a
// leaving instance. It verifies that no request of the class ended with an
// unknown outcome.
func (s *step) checkNoUnknownOutcomes(class loadgen.ClassReport) {
	graceful := s.drain != nil || s.instanceLeft
	if graceful && len(s.faults) == 1 && class.Unknown > 0 {
		s.addFailure(Draining, fmt.Sprintf("%d requests of class %s ended with an unknown outcome although the only fault was %s, reasons: %v", class.Unknown, class.Class, s.faults[0].name, class.Unknowns))
	}
}

// checkEveryClassServed sends short loads until a request of each class has
// completed. After RecoveryTimeout it stops and records a failure for each
// class without a completed request.
func (s *step) checkEveryClassServed(ctx context.Context) error {
	unserved := make(map[string]loadgen.ClassReport)
	for _, class := range s.run.workload.Classes {
		unserved[class.Name] = loadgen.ClassReport{}
	}
	deadline := time.Now().Add(RecoveryTimeout)
	for len(unserved) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		load := <-s.run.startLoad(ctx, s.run.workload, probeDuration)
		if err := s.recordLoad(load); err != nil {
			return err
		}
		for _, class := range load.report.Classes {
			if class.Completed > 0 {
				delete(unserved, class.Class)
			} else if _, isUnserved := unserved[class.Class]; isUnserved {
				unserved[class.Class] = class
			}
		}
	}
	for name, lastReport := range unserved {
		s.addFailure(EveryClassServed, fmt.Sprintf("no request of class %s completed; reasons of the last load: refused %v, unknown %v", name, lastReport.Refusals, lastReport.Unknowns))
	}
	return nil
}

// checkRunCounts verifies two guarantees. If a caller was told in this or an
// earlier step that its request did not run, no engine ran the prompt. No
// idempotency key ran twice.
func (s *step) checkRunCounts() {
	promptRuns := s.run.demo.RunCounts().PromptRuns
	for _, prompt := range s.run.notRunPrompts {
		if promptRuns(prompt) > 0 && s.run.isFirstReport(fmt.Sprintf("%x", prompt)) {
			s.addFailure(CorrectAnswers, fmt.Sprintf("prompt %x ran although its caller was told that it did not run", prompt))
		}
	}
	runs := make(map[string]int)
	for _, server := range s.run.demo.Services() {
		for key, count := range server.Counters().ByKey {
			runs[key] += count
		}
	}
	maps.DeleteFunc(runs, func(_ string, count int) bool { return count <= 1 })
	for key, count := range runs {
		if !s.run.isFirstReport(key) {
			continue
		}
		s.addFailure(AtMostOnce, fmt.Sprintf("idempotency key %s ran %d times, want at most 1", key, count))
	}
}

// isFirstReport returns true only at the first call with a given subject, so that
// each finding is reported once in a run.
func (r *run) isFirstReport(subject string) bool {
	if r.reportedSubjects[subject] {
		return false
	}
	r.reportedSubjects[subject] = true
	return true
}
