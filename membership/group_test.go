package membership

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func TestKilledInstanceLeavesTheView(t *testing.T) {
	run(t, []int{7, 3}, func(t *testing.T, c *cluster) {
		gone := address(0, 3)
		c.kill(gone)
		took := c.within(10*time.Second, func() bool { return c.others(gone, absent(gone)) })
		t.Logf("out of every view after %v", took)
		if known := c.nodes[address(0, 0)].View().Known; known != 7 {
			t.Errorf("known = %d, want the dead one counted", known)
		}
	})
}

func TestFrozenInstanceLeavesAndReturns(t *testing.T) {
	run(t, []int{7}, func(t *testing.T, c *cluster) {
		frozen := address(0, 3)
		c.network.Freeze(frozen)
		c.within(10*time.Second, func() bool { return c.others(frozen, absent(frozen)) })
		c.network.Thaw(frozen)
		c.within(10*time.Second, func() bool { return c.others(frozen, inState(frozen, Live)) })
		c.settle()
	})
}

func TestOneWayLossRemovesNobody(t *testing.T) {
	run(t, []int{7}, func(t *testing.T, c *cluster) {
		a, b := address(0, 1), address(0, 2)
		c.network.CutOneWay(a, b)
		c.always(time.Minute, func() error {
			for _, n := range c.nodes {
				for _, m := range n.View().Members {
					if m.State != Live {
						return errors.Errorf("%s holds %s to be %v", n.View().Self.Name, m.Name, m.State)
					}
				}
			}
			return nil
		})
		if c.nodes[a].Counters()[ReachedByOthers] == 0 {
			t.Error("no indirect evidence was used")
		}
	})
}

func TestLossOfMessagesRemovesNobody(t *testing.T) {
	run(t, []int{7}, func(t *testing.T, c *cluster) {
		c.network.SetLoss(0.05)
		c.always(time.Minute, func() error {
			for _, n := range c.nodes {
				if got := len(n.View().Members); got != 7 {
					return errors.Errorf("%s has %d members", n.View().Self.Name, got)
				}
			}
			return nil
		})
		var suspicions uint64
		for _, n := range c.nodes {
			suspicions += n.Counters()[Unreached]
		}
		if suspicions > 2 {
			t.Errorf("%d suspicions of healthy instances", suspicions)
		}
	})
}

func TestHealedInstanceTakesNobodyDown(t *testing.T) {
	run(t, []int{7}, func(t *testing.T, c *cluster) {
		cut := address(0, 3)
		c.network.Isolate(cut)
		c.within(10*time.Second, func() bool { return c.others(cut, absent(cut)) })
		c.within(10*time.Second, func() bool { return c.nodes[cut].View().Alone() })
		if known := c.nodes[cut].View().Known; known != 7 {
			t.Errorf("known = %d", known)
		}
		c.network.Heal()
		c.always(20*time.Second, func() error {
			for a, n := range c.nodes {
				if got := len(n.View().Members); a != cut && got < 6 {
					return errors.Errorf("%s has %d members", n.View().Self.Name, got)
				}
			}
			return nil
		})
		c.settle()
	})
}

func TestPartitionOfADataCentreHeals(t *testing.T) {
	run(t, []int{6}, func(t *testing.T, c *cluster) {
		for i := range 3 {
			for j := 3; j < 6; j++ {
				c.network.Cut(address(0, i), address(0, j))
			}
		}
		c.within(20*time.Second, func() bool {
			return c.others(netip.AddrPort{}, func(v *View) bool { return len(v.Members) == 3 })
		})
		// Without the seeds the two sides must recall each other.
		c.kill(address(0, 0))
		c.kill(address(0, 1))
		c.network.Heal()
		c.settle()
	})
}

func TestLeaveIsKnownBeforeTheEnd(t *testing.T) {
	run(t, []int{7, 3}, func(t *testing.T, c *cluster) {
		leaving := address(0, 3)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.nodes[leaving].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		took := c.within(5*time.Second, func() bool { return c.others(leaving, inState(leaving, Leaving)) })
		t.Logf("known as leaving everywhere after %v", took)
		c.kill(leaving)
		c.within(10*time.Second, func() bool { return c.others(leaving, absent(leaving)) })
		if known := c.nodes[address(0, 0)].View().Known; known != 6 {
			t.Errorf("known = %d, want the one that left not counted", known)
		}
	})
}

func TestLeaveWithoutAnswerSaysSo(t *testing.T) {
	run(t, []int{3}, func(t *testing.T, c *cluster) {
		leaving := address(0, 2)
		c.network.Isolate(leaving)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.nodes[leaving].Leave(ctx); !errors.Is(err, ErrNotAnnounced) {
			t.Errorf("got %v", err)
		}
	})
}

func TestRestartAtTheSameAddress(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64
	}{
		{"clock went on", 9},
		{"same number", first},
		{"clock went back", first - 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, []int{5}, func(t *testing.T, c *cluster) {
				a := address(0, 3)
				c.nodes[a].SetReady(false)
				time.Sleep(5 * time.Second)
				c.kill(a)
				c.start(0, 3, test.incarnation)
				c.within(5*time.Second, func() bool {
					return c.others(a, func(v *View) bool {
						m, ok := v.Find(a)
						return ok && m.State == Live && m.Ready && m.Incarnation > first
					})
				})
				c.settle()
			})
		})
	}
}

func TestFlappingInstanceIsDamped(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		a := address(0, 3)
		for range 3 {
			c.network.Isolate(a)
			c.within(10*time.Second, func() bool { return c.others(a, absent(a)) })
			c.network.Heal()
			c.within(10*time.Second, func() bool { return c.others(a, inState(a, Live)) })
		}
		eligible := func(v *View) bool {
			m, _ := v.Find(a)
			return m.Eligible()
		}
		if c.others(a, eligible) {
			t.Error("given duties at once after its third return")
		}
		c.within(maxDamping, func() bool { return c.others(a, eligible) })
	})
}

func TestAllPeersReplacedAtOnce(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		for i := 1; i < 5; i++ {
			c.kill(address(0, i))
		}
		for i := 5; i < 9; i++ {
			c.start(0, i, first)
		}
		c.settle()
	})
}

func TestDataCentreCutOffAndBack(t *testing.T) {
	run(t, []int{4, 4, 4}, func(t *testing.T, c *cluster) {
		for i := range 4 {
			for j := range 4 {
				c.network.Cut(address(2, i), address(0, j))
				c.network.Cut(address(2, i), address(1, j))
			}
		}
		inside := func(v *View) bool { return v.Self.DataCentre == "dc2" }
		took := c.within(30*time.Second, func() bool {
			return c.others(netip.AddrPort{}, func(v *View) bool {
				if inside(v) {
					return !v.Reachable("dc0") && !v.Reachable("dc1")
				}
				return !v.Reachable("dc2")
			})
		})
		t.Logf("unreachable everywhere after %v", took)
		if got := len(c.nodes[address(2, 0)].View().InDataCentre("dc2")); got != 4 {
			t.Errorf("the part cut off has %d members of its own", got)
		}
		c.network.Heal()
		c.within(30*time.Second, func() bool {
			return c.others(netip.AddrPort{}, func(v *View) bool {
				return v.Reachable("dc0") && v.Reachable("dc1") && v.Reachable("dc2")
			})
		})
	})
}
