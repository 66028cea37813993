package chaos

import (
	"context"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/demo"
	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// Durations within a step.
const (
	// loadDuration is how long requests arrive in a step without a drain.
	loadDuration = 1500 * time.Millisecond
	// firstFaultDelay is the time from the start of the load to the first
	// fault.
	firstFaultDelay = 300 * time.Millisecond
	// secondFaultDelay is the time from the first fault to the second, unless
	// both start together.
	secondFaultDelay = 250 * time.Millisecond
	// drainWatchDuration is how long the requests at a draining server are
	// counted after DrainLimit.
	drainWatchDuration = time.Second
)

// Probabilities of the random choices of a step, and upper limits of the
// durations drawn for faults of the platform.
const (
	twoFaultsProbability    = 0.6                    // probability that a step has two faults instead of one
	simultaneousProbability = 0.5                    // probability that the two faults of a step start at the same time
	staysDownProbability    = 0.25                   // probability that a killed instance stays down during the next step
	classChangeProbability  = 0.5                    // probability that an operator changes a class just before the faults
	maxPlatformLatency      = 500 * time.Millisecond // latency added to each response of the platform
	maxStaleness            = 2 * time.Second        // age of the state that the platform's reads return
)

// step is the state of a running step. Its methods must be called by one
// goroutine.
type step struct {
	run    *run
	result Step
	faults []fault
	// staggered is true if the second fault starts secondFaultDelay after the
	// first.
	staggered bool
	load      <-chan loadResult
	links     linkState
	drain     *drainState // nil unless a drain was accepted in this step
	// instanceLeft is true if an instance left gracefully in this step.
	instanceLeft bool
	// platformDown is true while the platform doesn't respond.
	platformDown bool
	// staysDown holds the killed instances that heal doesn't restart at the end
	// of this step. The next step restarts them at its end.
	staysDown map[*demo.Instance]bool
	// restarted holds the instances that were restarted in this step and lost
	// their state in memory.
	restarted map[*demo.Instance]bool
}

func newStep(r *run, number int) *step {
	return &step{
		run:       r,
		result:    Step{Number: number},
		links:     newLinkState(),
		staysDown: make(map[*demo.Instance]bool),

		restarted: make(map[*demo.Instance]bool),
	}
}

// chooseFaults chooses one or two faults. A drain goes first, because the other
// fault may prevent the operator's write that starts the drain.
func (s *step) chooseFaults() {
	r := s.run
	s.faults = append(s.faults, pick(r.random, r.faults))
	if r.random.Float64() < twoFaultsProbability {
		s.faults = append(s.faults, pick(r.random, r.faults))
	}
	s.staggered = r.random.Float64() >= simultaneousProbability
	if len(s.faults) == 2 && s.faults[1].isDrain {
		s.faults[0], s.faults[1] = s.faults[1], s.faults[0]
	}
}

// runUnderFaults sends load and injects the faults while requests arrive.
func (s *step) runUnderFaults(ctx context.Context) {
	start := time.Now()
	duration := loadDuration
	if s.faults[0].isDrain {
		duration = firstFaultDelay + secondFaultDelay + DrainLimit + drainWatchDuration
	}
	s.load = s.run.startLoad(ctx, s.run.workloadWithBursts(s.faults), duration)
	sleep(ctx, firstFaultDelay)
	if s.run.random.Float64() < classChangeProbability {
		s.result.Faults = append(s.result.Faults, "(change-class"+s.changeClass(ctx)+")")
	}
	for i, f := range s.faults {
		if i > 0 && s.staggered {
			sleep(ctx, secondFaultDelay)
		}
		s.result.Faults = append(s.result.Faults, f.name+f.inject(ctx, s))
	}
	if s.drain != nil {
		s.drain.countAtLimit(ctx)
	}
	sleep(ctx, time.Until(start.Add(duration)))
	if s.drain != nil {
		s.drain.checkLateRequests(s)
	}
}

// heal ends all faults, restarts the killed instances and waits until all
// requests of the step have ended.
func (s *step) heal(ctx context.Context) error {
	system := s.run.demo
	system.Platform().SetFaults(platform.Faults{})
	for _, engine := range system.Engines() {
		engine.SetFaults(engineapi.EngineFaults{})
	}
	for _, server := range system.Services() {
		server.SetFaults(service.Faults{})
	}
	s.run.network.Heal()
	s.run.network.SetLoss(0)
	s.run.network.SetDelay(0)
	s.links = newLinkState()
	s.platformDown = false
	for _, instance := range system.Instances() {
		s.run.network.Thaw(peerAddress(instance))
	}
	for _, instance := range system.Instances() {
		if s.staysDown[instance] {
			continue
		}
		if err := s.restart(ctx, instance); err != nil {
			return err
		}
	}
	return s.recordLoad(<-s.load)
}

// kill stops an instance as a crash would.
func (s *step) kill(instance *demo.Instance) {
	s.run.monitor.stopWatching(instance.Name())
	instance.Kill()
}

// restart starts an instance if it isn't running. It notes the result of
// minReachableRevision before the start. The monitor then checks that the
// instance has at least this revision when it becomes ready.
func (s *step) restart(ctx context.Context, instance *demo.Instance) error {
	if instance.Alive() {
		return nil
	}
	minRevision := s.minReachableRevision(instance)
	if err := instance.Restart(ctx); err != nil {
		return err
	}
	s.restarted[instance] = true
	s.run.monitor.watch(instance.Name(), instance.Current(), minRevision)
	return nil
}

// minReachableRevision returns the lowest configuration revision among the
// ready instances that the given instance can reach directly. It returns 0 if
// the given instance can reach no ready instance.
func (s *step) minReachableRevision(instance *demo.Instance) int64 {
	lowest := int64(0)
	for _, other := range s.run.aliveInstances() {
		if !s.links.connected(instance, other) || !other.Current().Ready() {
			continue
		}
		if revision := other.Current().Config().Revision; lowest == 0 || revision < lowest {
			lowest = revision
		}
	}
	return lowest
}

// restartAll kills all given instances at the same time and then starts them
// again, one after the other.
func (s *step) restartAll(ctx context.Context, instances []*demo.Instance) {
	var tasks sync.WaitGroup
	for _, instance := range instances {
		s.run.monitor.stopWatching(instance.Name())
		tasks.Go(instance.Kill)
	}
	tasks.Wait()
	for _, instance := range instances {
		if err := s.restart(ctx, instance); err != nil {
			// heal tries to start the remaining instances and returns the
			// error of a failed start.
			return
		}
	}
}

func (s *step) addFailure(guarantee Guarantee, detail string) {
	s.result.Failures = append(s.result.Failures, Failure{guarantee, detail})
}

// aliveInstances returns the instances that are running.
func (r *run) aliveInstances() []*demo.Instance {
	var out []*demo.Instance
	for _, instance := range r.demo.Instances() {
		if instance.Alive() {
			out = append(out, instance)
		}
	}
	return out
}

// instancesIn returns the instances of a data centre, running or not.
func (s *step) instancesIn(dataCentre string) []*demo.Instance {
	var out []*demo.Instance
	for _, instance := range s.run.demo.Instances() {
		if instance.DataCentre() == dataCentre {
			out = append(out, instance)
		}
	}
	return out
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// toAPIDuration rounds to milliseconds and converts to the API's duration type.
func toAPIDuration(d time.Duration) api.Duration { return api.Duration(d.Round(time.Millisecond)) }
