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

// chaos draws faults for a cluster from a seed.
type chaos struct {
	*cluster
	random *rand.Rand
	frozen []netip.AddrPort
	killed []netip.AddrPort
	lives  uint64
}

func (x *chaos) any() netip.AddrPort {
	live := x.live()
	return live[x.random.IntN(len(live))].endpoint.Local()
}

// step does one fault or mends one, and returns what it did.
func (x *chaos) step() string {
	a, b := x.any(), x.any()
	switch x.random.IntN(10) {
	case 0:
		x.network.Cut(a, b)
		return fmt.Sprint("cut ", a, b)
	case 1:
		x.network.CutOneWay(a, b)
		return fmt.Sprint("cut one way ", a, b)
	case 2:
		x.network.Isolate(a)
		return fmt.Sprint("isolate ", a)
	case 3:
		x.network.Freeze(a)
		x.frozen = append(x.frozen, a)
		return fmt.Sprint("freeze ", a)
	case 4:
		if len(x.live()) < 4 {
			return "none"
		}
		x.network.Thaw(a)
		x.kill(a)
		x.killed = append(x.killed, a)
		return fmt.Sprint("kill ", a)
	case 5:
		x.network.SetLoss(0.02)
		return "loss"
	case 6:
		x.restart()
		return "restart"
	case 7:
		x.thaw()
		return "thaw"
	default:
		x.network.Heal()
		x.network.SetLoss(0)
		return "heal"
	}
}

// burst submits more than the slots at all instances that run: a frozen one
// takes no requests.
func (x *chaos) burst() {
	for _, n := range x.live() {
		if slices.Contains(x.frozen, n.endpoint.Local()) {
			continue
		}
		for range x.random.IntN(8) {
			x.request(n, x.random.IntN(2) == 0, time.Duration(x.random.IntN(int(time.Second))))
		}
	}
}

func (x *chaos) restart() {
	for _, a := range x.killed {
		x.lives++
		x.start(0, int(a.Addr().As4()[3]), 1+x.lives)
	}
	x.killed = nil
}

func (x *chaos) thaw() {
	for _, a := range x.frozen {
		x.network.Thaw(a)
	}
	x.frozen = nil
}

// maxWait bounds a request's wait for its first grant among the faults.
const maxWait = 8 * time.Second

var seeds = flag.Uint64("seeds", 6, "number of random runs")

// TestRandomFaults checks after random faults that no request ran twice, that
// none was told that it did not run after it had, that each that came once all
// was mended is whole, and that no scheduler holds what is over.
func TestRandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run(t, []int{5}, func(t *testing.T, c *cluster) {
				x := &chaos{cluster: c, random: rand.New(rand.NewPCG(seed, seed))}
				for range 25 {
					t.Log(x.step())
					x.burst()
					time.Sleep(time.Duration(x.random.IntN(int(time.Second))))
				}
				x.network.Heal()
				x.network.SetLoss(0)
				x.thaw()
				x.restart()
				c.callers.Wait()
				time.Sleep(time.Minute)
				c.mu.Lock()
				t.Logf("of %d: %v, refused for %v", c.next, c.ended, c.reasons)
				longest := slices.Max(c.waits)
				t.Logf("longest wait %v, moved %d, passed over %d, superseded %d", longest, c.count(Moved), c.count(FailedOver), c.count(Superseded))
				if longest > maxWait {
					t.Errorf("longest wait %v", longest)
				}
				before := c.ended[outcome.Completed]
				c.mu.Unlock()
				c.load(20, 20*time.Millisecond)
				c.callers.Wait()
				c.checkNothingHeld()
				c.mu.Lock()
				defer c.mu.Unlock()
				if got := c.ended[outcome.Completed] - before; got != 20*5 {
					t.Errorf("%d of 100 completed after all was mended", got)
				}
				for id, n := range c.runs {
					if n > 1 {
						t.Errorf("request %x ran %d times", id[:8], n)
					}
				}
				if c.hung > 0 {
					t.Errorf("%d requests did not end at live instances", c.hung)
				}
				if c.lies > 0 {
					t.Errorf("%d requests were told that they did not run, and had run", c.lies)
				}
			})
		})
	}
}
