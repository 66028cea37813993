package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// randomFaults injects faults into a cluster, drawn from a seeded random
// source.
type randomFaults struct {
	*cluster
	random   *rand.Rand
	frozen   []netip.AddrPort
	crashed  []netip.AddrPort
	restarts uint64 // number of instances restarted so far; each restarted instance gets a higher incarnation
}

// any returns the address of a randomly chosen running instance.
func (f *randomFaults) any() netip.AddrPort {
	live := f.liveNodes()
	return live[f.random.IntN(len(live))].endpoint.Local()
}

// injectOrRepair either injects a random fault or repairs earlier faults. It
// returns a description for the test's log.
func (f *randomFaults) injectOrRepair() string {
	a, b := f.any(), f.any()
	switch f.random.IntN(10) {
	case 0:
		f.network.Cut(a, b)
		return fmt.Sprint("cut ", a, b)
	case 1:
		f.network.CutOneWay(a, b)
		return fmt.Sprint("cut one way ", a, b)
	case 2:
		f.network.Isolate(a)
		return fmt.Sprint("isolate ", a)
	case 3:
		f.network.Freeze(a)
		f.frozen = append(f.frozen, a)
		return fmt.Sprint("freeze ", a)
	case 4:
		if len(f.liveNodes()) < 4 {
			return "none"
		}
		f.network.Thaw(a)
		f.crash(a)
		f.crashed = append(f.crashed, a)
		return fmt.Sprint("crash ", a)
	case 5:
		f.network.SetLoss(0.02)
		return "loss"
	case 6:
		f.restartCrashed()
		return "restart"
	case 7:
		f.thawAll()
		return "thaw"
	default:
		f.network.Heal()
		f.network.SetLoss(0)
		return "heal"
	}
}

// submitBurst submits more requests than there are slots. A frozen instance
// takes no requests.
func (f *randomFaults) submitBurst() {
	for _, n := range f.liveNodes() {
		if slices.Contains(f.frozen, n.endpoint.Local()) {
			continue
		}
		for range f.random.IntN(8) {
			f.startRequest(n, f.random.IntN(2) == 0, time.Duration(f.random.IntN(int(time.Second))))
		}
	}
}

func (f *randomFaults) restartCrashed() {
	for _, a := range f.crashed {
		f.restarts++
		f.startNode(0, int(a.Addr().As4()[3]), 1+f.restarts)
	}
	f.crashed = nil
}

func (f *randomFaults) thawAll() {
	for _, a := range f.frozen {
		f.network.Thaw(a)
	}
	f.frozen = nil
}

// maxFirstGrantWait bounds a request's wait for its first grant while faults
// happen.
const maxFirstGrantWait = 8 * time.Second

var seeds = flag.Uint64("seeds", 6, "number of runs with random faults")

// TestRandomFaults injects random faults and then repairs them all. No request
// may run twice. If a request has run, no refusal may state that it has not
// run. If the instance of a request keeps running, the request must get an
// outcome. Each request submitted after the repair must complete. At the end no
// scheduler may host a session.
func TestRandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
				faults := &randomFaults{cluster: c, random: rand.New(rand.NewPCG(seed, seed))}
				for range 25 {
					t.Log(faults.injectOrRepair())
					faults.submitBurst()
					time.Sleep(time.Duration(faults.random.IntN(int(time.Second))))
				}
				faults.network.Heal()
				faults.network.SetLoss(0)
				faults.thawAll()
				faults.restartCrashed()
				c.callers.Wait()
				time.Sleep(time.Minute)
				c.mu.Lock()
				t.Logf("outcomes of %d requests: %v, refusal reasons %v", c.requestCount, c.outcomes, c.reasons)
				longest := slices.Max(c.waits)
				t.Logf("longest wait for a first grant %v, %d sessions moved, %d failovers, %d superseded decisions", longest, c.countEvents(Moved), c.countEvents(FailedOver), c.countEvents(Superseded))
				if longest > maxFirstGrantWait {
					t.Errorf("longest wait for a first grant %v, want at most 8s (maxFirstGrantWait)", longest)
				}
				completedBefore := c.outcomes[outcome.Completed]
				c.mu.Unlock()
				c.loadAll(20, 20*time.Millisecond)
				c.callers.Wait()
				c.checkNoSessionsLeft()
				c.mu.Lock()
				defer c.mu.Unlock()
				if got := c.outcomes[outcome.Completed] - completedBefore; got != 20*5 {
					t.Errorf("%d of 100 requests completed after the repair of all faults, want all", got)
				}
				for id, n := range c.runs {
					if n > 1 {
						t.Errorf("request %x ran %d times, want at most once", id[:8], n)
					}
				}
				if c.withoutOutcome > 0 {
					t.Errorf("%d requests whose instance was still running got no outcome within a minute, want none", c.withoutOutcome)
				}
				if c.falseRefusals > 0 {
					t.Errorf("%d refusals claimed that the request had not run although it had, want none", c.falseRefusals)
				}
			})
		})
	}
}
