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

// Times of a step.
const (
	// loadTime is for how long requests arrive.
	loadTime = 1500 * time.Millisecond
	// faultsAfter is when the first fault comes.
	faultsAfter = 300 * time.Millisecond
	// faultsApart is the time to the second one, unless they come together.
	faultsApart = 250 * time.Millisecond
	// watchDrained is for how long a draining server is watched after
	// DrainLimit.
	watchDrained = time.Second
)

// Chances of a draw.
const (
	twoFaults    = 0.6 // rather than one
	together     = 0.5 // of two: at the same time
	staysDown    = 0.25
	alsoChange   = 0.5                    // an operator's change besides, just before the faults
	maxPlatform  = 500 * time.Millisecond // latency
	maxStaleness = 2 * time.Second
)

// step is one step under way. Its methods are called by one goroutine.
type step struct {
	run    *run
	result Step
	draws  []fault
	// apart says that the second fault comes a moment after the first.
	apart bool
	load  <-chan loaded
	links links
	drain *drain
	// left says that an instance left gracefully.
	left bool
	// platformDown says that the platform answers nothing.
	platformDown bool
	// down holds the instances that stay down until the next step.
	down map[*demo.Instance]bool
	// restarted holds the instances that lost their memory in this step.
	restarted map[*demo.Instance]bool
}

func newStep(r *run, number int) *step {
	return &step{
		run:    r,
		result: Step{Number: number},
		links:  newLinks(),
		down:   make(map[*demo.Instance]bool),

		restarted: make(map[*demo.Instance]bool),
	}
}

// draw picks the faults. A drain comes before what may keep its write away.
func (s *step) draw() {
	r := s.run
	s.draws = append(s.draws, pick(r.random, r.faults))
	if r.random.Float64() < twoFaults {
		s.draws = append(s.draws, pick(r.random, r.faults))
	}
	s.apart = r.random.Float64() >= together
	if len(s.draws) == 2 && s.draws[1].drains {
		s.draws[0], s.draws[1] = s.draws[1], s.draws[0]
	}
}

// under sends load and injects the faults meanwhile.
func (s *step) under(ctx context.Context) {
	start := time.Now()
	duration := loadTime
	if s.draws[0].drains {
		duration = faultsAfter + faultsApart + DrainLimit + watchDrained
	}
	s.load = s.run.send(ctx, s.run.burst(s.draws), duration)
	sleep(ctx, faultsAfter)
	if s.run.random.Float64() < alsoChange {
		s.result.Faults = append(s.result.Faults, "(change-class"+s.changeClass(ctx)+")")
	}
	for i, f := range s.draws {
		if i > 0 && s.apart {
			sleep(ctx, faultsApart)
		}
		s.result.Faults = append(s.result.Faults, f.name+f.inject(ctx, s))
	}
	if s.drain != nil {
		s.drain.watch(ctx)
	}
	sleep(ctx, time.Until(start.Add(duration)))
	if s.drain != nil {
		s.drain.compare(s)
	}
}

// heal ends all faults, and waits for the answers.
func (s *step) heal(ctx context.Context) error {
	d := s.run.demo
	d.Platform().SetFaults(platform.Faults{})
	for _, e := range d.Engines() {
		e.SetFaults(engineapi.EngineFaults{})
	}
	for _, sv := range d.Services() {
		sv.SetFaults(service.Faults{})
	}
	s.run.network.Heal()
	s.run.network.SetLoss(0)
	s.run.network.SetDelay(0)
	s.links = newLinks()
	s.platformDown = false
	for _, n := range d.Instances() {
		s.run.network.Thaw(peerAddress(n))
	}
	for _, n := range d.Instances() {
		if s.down[n] {
			continue
		}
		if err := s.restart(ctx, n); err != nil {
			return err
		}
	}
	return s.takeLoad(<-s.load)
}

// kill ends an instance as a crash does.
func (s *step) kill(n *demo.Instance) {
	s.run.monitor.forget(n.Name())
	n.Kill()
}

// restart starts an instance if it is down. It has to know what each of those
// knows that it can reach.
func (s *step) restart(ctx context.Context, n *demo.Instance) error {
	if n.Alive() {
		return nil
	}
	floor := s.floor(n)
	if err := n.Restart(ctx); err != nil {
		return err
	}
	s.restarted[n] = true
	s.run.monitor.follow(n.Name(), n.Current(), floor)
	return nil
}

// floor returns the lowest revision among the instances that n can reach, or 0
// if there are none.
func (s *step) floor(n *demo.Instance) int64 {
	lowest := int64(0)
	for _, other := range s.run.alive() {
		if !s.links.stands(n, other) || !other.Current().Ready() {
			continue
		}
		if revision := other.Current().Config().Revision; lowest == 0 || revision < lowest {
			lowest = revision
		}
	}
	return lowest
}

// restartAll kills instances and starts them again, all at the same time.
func (s *step) restartAll(ctx context.Context, instances []*demo.Instance) {
	var tasks sync.WaitGroup
	for _, n := range instances {
		s.run.monitor.forget(n.Name())
		tasks.Go(n.Kill)
	}
	tasks.Wait()
	for _, n := range instances {
		if err := s.restart(ctx, n); err != nil {
			// heal tries again and reports it.
			return
		}
	}
}

func (s *step) fail(p Guarantee, detail string) {
	s.result.Failures = append(s.result.Failures, Failure{p, detail})
}

// alive returns the instances that run.
func (r *run) alive() []*demo.Instance {
	var out []*demo.Instance
	for _, n := range r.demo.Instances() {
		if n.Alive() {
			out = append(out, n)
		}
	}
	return out
}

func (s *step) dataCentre(name string) []*demo.Instance {
	var out []*demo.Instance
	for _, n := range s.run.demo.Instances() {
		if n.DataCentre() == name {
			out = append(out, n)
		}
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// millis is a duration in an api type.
func millis(d time.Duration) api.Duration { return api.Duration(d.Round(time.Millisecond)) }
