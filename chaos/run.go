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

// The system under test.
const (
	minInstances = 4
	maxInstances = 6
	dataCentres  = 2
	engines      = 4
	services     = 2
	// shorter divides the lengths of the workload's prompts and answers, more
	// is the factor of its rates.
	shorter = 6
	more    = 4
	// slots is how many requests an engine runs at a time: few, so that a burst
	// is more than the fleet can take.
	slots = 6
	// longestAnswer bounds the answers, in tokens.
	longestAnswer = 120
	// stallTimeout bounds how long an instance waits for a frame.
	stallTimeout = time.Second
)

// ErrUnknownFault reports an option that names no fault.
var ErrUnknownFault = errors.New("chaos: no such fault")

// run is one run. Its methods are called by one goroutine.
type run struct {
	opts     Options
	faults   []fault
	random   *rand.Rand
	workload loadgen.Workload
	network  *memnet.Network
	demo     *demo.Demo
	monitor  *monitor
	audits   audits
	accepted acceptances
	writes   int // of operators, so that each differs
	chunks   int // of load, so that each has requests of its own
	// notRun holds the prompts whose callers were told that they did not run.
	notRun []answer.Digest
	// reported names what was found in an earlier step already.
	reported map[string]bool
}

// Run brings the system up, takes it through the steps and ends it. Broken
// promises are in the report; an error means that the run itself could not go
// on.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts = opts.withDefaults()
	faults, err := namedFaults(opts.Faults)
	if err != nil {
		return Report{}, err
	}
	r := &run{
		opts:     opts,
		faults:   faults,
		random:   rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		workload: shortWorkload(),
		network:  memnet.New(opts.Seed),
		accepted: make(acceptances),
		reported: make(map[string]bool),
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

func shortWorkload() loadgen.Workload {
	w := loadgen.AgendaAndina().Shorten(shorter).Scale(more)
	for i := range w.Classes {
		w.Classes[i].Answer.Max = longestAnswer
		w.Classes[i].ReturnShare = comeBack
	}
	return w
}

func (r *run) start(ctx context.Context, instances int) error {
	d, err := demo.Start(ctx, demo.Options{
		Workload:     r.workload,
		Fleet:        loadgen.Fleet{DataCentres: dataCentres, Engines: engines, Services: services},
		Instances:    instances,
		Seed:         r.opts.Seed,
		Log:          r.opts.Log,
		Network:      r.network,
		Slots:        slots,
		Audit:        r.audits.note,
		StallTimeout: api.Duration(stallTimeout),
	})
	if err != nil {
		return err
	}
	r.demo = d
	r.monitor = newMonitor()
	for _, n := range d.Instances() {
		r.monitor.follow(n.Name(), n.Current(), 0)
	}
	return nil
}

// step runs one step.
func (r *run) step(ctx context.Context, number int) (Step, error) {
	s := newStep(r, number)
	s.draw()
	s.under(ctx)
	if err := s.heal(ctx); err != nil {
		return s.result, err
	}
	err := s.check(ctx)
	return s.result, err
}

// pick returns one of the values.
func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

// until asks again and again until holds reports no complaint. It returns the
// last complaint if RecoveryTimeout runs out first.
func until(ctx context.Context, holds func() (complaint string)) string {
	deadline := time.Now().Add(RecoveryTimeout)
	for {
		complaint := holds()
		if complaint == "" {
			return ""
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Sprintf("still after %v: %s", RecoveryTimeout, complaint)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the time between two looks at something awaited.
const pollInterval = 10 * time.Millisecond
