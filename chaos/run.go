package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/demo"
	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/peer/memnet"
	"bergamotpin.example/bergamotpin/standin/answer"
)

// Size and speed of the system under test.
const (
	minInstances    = 4
	maxInstances    = 6
	dataCentreCount = 2
	engineCount     = 4
	serviceCount    = 2
	// lengthDivisor divides the lengths of the workload's prompts and answers,
	// and rateFactor multiplies its arrival rates.
	lengthDivisor = 6
	rateFactor    = 4
	// engineSlots is the number of concurrent requests of an engine. It is
	// small, so that a burst exceeds the total capacity of the engines.
	engineSlots = 6
	// maxAnswerTokens is the maximum length of the workload's answers in
	// tokens.
	maxAnswerTokens = 120
	// stallTimeout is how long an instance waits for the next frame of an
	// engine's response.
	stallTimeout = time.Second
)

// ErrUnknownFault reports a name in Options.Faults that isn't the name of a
// fault.
var ErrUnknownFault = errors.New("chaos: unknown fault name")

// run is the state of one run. Its methods must be called by one goroutine.
type run struct {
	opts             Options
	faults           []fault
	random           *rand.Rand
	workload         loadgen.Workload
	network          *memnet.Network
	demo             *demo.Demo
	monitor          *configMonitor
	findings         auditFindings
	acceptedVersions acceptedVersions
	writeCount       int // writes by operators so far; makes each edit of a class different
	loadCount        int // loads started so far; gives each load a seed of its own
	// notRunPrompts holds the prompts whose callers were told that the request
	// was not run.
	notRunPrompts []answer.PromptDigest
	// reportedSubjects holds the prompts and idempotency keys already reported as
	// failures, in this step or an earlier one. A prompt is held as its digest in
	// hex.
	reportedSubjects map[string]bool
}

// Run starts the system, runs the steps and stops the system. The report lists
// violated guarantees. An error means that the run could not continue.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts = opts.withDefaults()
	faults, err := faultsByName(opts.Faults)
	if err != nil {
		return Report{}, err
	}
	r := &run{
		opts:             opts,
		faults:           faults,
		random:           rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		workload:         shortenedWorkload(),
		network:          memnet.New(opts.Seed),
		acceptedVersions: make(acceptedVersions),
		reportedSubjects: make(map[string]bool),
	}
	report := Report{Seed: opts.Seed, Instances: minInstances + r.random.IntN(maxInstances-minInstances+1)}
	if err := r.start(ctx, report.Instances); err != nil {
		return report, err
	}
	defer r.demo.Close()
	defer r.monitor.close()
	for number := 1; number <= opts.Steps; number++ {
		s, err := r.step(ctx, number)
		report.Steps = append(report.Steps, s)
		opts.OnStep(s)
		if err != nil {
			return report, errors.Wrapf(err, "step %d", number)
		}
	}
	return report, nil
}

// shortenedWorkload returns the AgendaAndinaWorkload with shorter prompts and
// answers and more requests, to suit the short steps.
func shortenedWorkload() loadgen.Workload {
	workload := loadgen.AgendaAndinaWorkload().Shorten(lengthDivisor).Scale(rateFactor)
	for i := range workload.Classes {
		workload.Classes[i].AnswerLengths.Max = maxAnswerTokens
		workload.Classes[i].ReturnShare = returnShare
	}
	return workload
}

func (r *run) start(ctx context.Context, instances int) error {
	system, err := demo.Start(ctx, demo.Options{
		Workload:     r.workload,
		Fleet:        loadgen.Fleet{DataCentres: dataCentreCount, Engines: engineCount, Services: serviceCount},
		Instances:    instances,
		Seed:         r.opts.Seed,
		Log:          r.opts.Log,
		Network:      r.network,
		EngineSlots:  engineSlots,
		OnViolation:  r.findings.add,
		StallTimeout: api.Duration(stallTimeout),
	})
	if err != nil {
		return err
	}
	r.demo = system
	r.monitor = newConfigMonitor()
	for _, instance := range system.Instances() {
		r.monitor.watch(instance.Name(), instance.Current(), 0)
	}
	return nil
}

// step runs one step and returns its result.
func (r *run) step(ctx context.Context, number int) (Step, error) {
	s := newStep(r, number)
	s.chooseFaults()
	s.runUnderFaults(ctx)
	if err := s.heal(ctx); err != nil {
		return s.result, err
	}
	err := s.check(ctx)
	return s.result, err
}

// pick returns a random element of values.
func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

// waitUntil calls check until it returns an empty string. If RecoveryTimeout
// passes first or ctx ends, it returns the last problem that check described.
func waitUntil(ctx context.Context, check func() (problem string)) string {
	deadline := time.Now().Add(RecoveryTimeout)
	for {
		problem := check()
		if problem == "" {
			return ""
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Sprintf("not met within %v: %s", RecoveryTimeout, problem)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond
