package membership

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestKilledInstanceIsRemovedFromAllViews kills an instance. All views, also in
// the other data centre, must drop it within 10 s.
func TestKilledInstanceIsRemovedFromAllViews(t *testing.T) {
	runCluster(t, []int{7, 3}, func(t *testing.T, c *cluster) {
		killed := testAddress(0, 3)
		c.kill(killed)
		took := c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(killed, notInView(killed)) })
		t.Logf("removed from every view after %v, limit 10s", took)
		if known := c.nodes[testAddress(0, 0)].View().KnownCount; known != 7 {
			t.Errorf("View.Known = %d at another instance, want 7: the killed instance must still count", known)
		}
	})
}

// TestFrozenInstanceIsRemovedAndRejoins freezes an instance until all views
// have dropped it. After the thaw it must be live in all views again.
func TestFrozenInstanceIsRemovedAndRejoins(t *testing.T) {
	runCluster(t, []int{7}, func(t *testing.T, c *cluster) {
		frozen := testAddress(0, 3)
		c.network.Freeze(frozen)
		c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(frozen, notInView(frozen)) })
		c.network.Thaw(frozen)
		c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(frozen, inState(frozen, Live)) })
		c.awaitFullViews()
	})
}

// TestOneWayLossRemovesNoInstance drops all messages from one instance to
// another. Both instances must stay live in all views, since other instances
// still reach them.
func TestOneWayLossRemovesNoInstance(t *testing.T) {
	runCluster(t, []int{7}, func(t *testing.T, c *cluster) {
		a, b := testAddress(0, 1), testAddress(0, 2)
		c.network.CutOneWay(a, b)
		c.checkDuring(time.Minute, func() error {
			for _, n := range c.nodes {
				for _, m := range n.View().Members {
					if m.State != Live {
						return errors.Errorf("%s has %s in state %v, want live", n.View().Self.Name, m.Name, m.State)
					}
				}
			}
			return nil
		})
		if c.nodes[a].Counters()[ReachedByOthers] == 0 {
			t.Error("ReachedByOthers is 0 at the instance with the cut link, want at least 1")
		}
	})
}

// TestMessageLossRemovesNoInstance loses 5% of all messages. All instances must
// stay in all views, and hardly any may be suspected.
func TestMessageLossRemovesNoInstance(t *testing.T) {
	runCluster(t, []int{7}, func(t *testing.T, c *cluster) {
		c.network.SetLoss(0.05)
		c.checkDuring(time.Minute, func() error {
			for _, n := range c.nodes {
				if got := len(n.View().Members); got != 7 {
					return errors.Errorf("%s has %d members, want 7", n.View().Self.Name, got)
				}
			}
			return nil
		})
		var suspicions uint64
		for _, n := range c.nodes {
			suspicions += n.Counters()[Unreached]
		}
		if suspicions > 2 {
			t.Errorf("%d suspicions of healthy instances, want at most 2", suspicions)
		}
	})
}

// TestReconnectedInstanceRemovesNoOther reconnects an instance that had
// declared all others dead while it was isolated. Its records must not remove
// these instances from each other's views.
func TestReconnectedInstanceRemovesNoOther(t *testing.T) {
	runCluster(t, []int{7}, func(t *testing.T, c *cluster) {
		isolated := testAddress(0, 3)
		c.network.Isolate(isolated)
		c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(isolated, notInView(isolated)) })
		c.waitFor(10*time.Second, func() bool { return c.nodes[isolated].View().Standalone() })
		if known := c.nodes[isolated].View().KnownCount; known != 7 {
			t.Errorf("View.Known = %d at the isolated instance, want 7: the instances that it declared dead must still count", known)
		}
		c.network.Heal()
		c.checkDuring(20*time.Second, func() error {
			for a, n := range c.nodes {
				if got := len(n.View().Members); a != isolated && got < 6 {
					return errors.Errorf("%s has %d members, want at least 6", n.View().Self.Name, got)
				}
			}
			return nil
		})
		c.awaitFullViews()
	})
}

// TestPartitionWithinADataCentreHeals splits a data centre until each half has
// dropped the other. After the partition heals, all views must be complete
// again.
func TestPartitionWithinADataCentreHeals(t *testing.T) {
	runCluster(t, []int{6}, func(t *testing.T, c *cluster) {
		for i := range 3 {
			for j := 3; j < 6; j++ {
				c.network.Cut(testAddress(0, i), testAddress(0, j))
			}
		}
		c.waitFor(20*time.Second, func() bool {
			return c.holdsAtOthers(netip.AddrPort{}, func(v *View) bool { return len(v.Members) == 3 })
		})
		// With the seed instances stopped, the two sides can only find each other
		// through the dead instances that they remember.
		c.kill(testAddress(0, 0))
		c.kill(testAddress(0, 1))
		c.network.Heal()
		c.awaitFullViews()
	})
}

// TestLeaveIsKnownBeforeTheInstanceStops announces a leave. All views must show
// the instance as leaving while it still runs, and drop it after it has
// stopped.
func TestLeaveIsKnownBeforeTheInstanceStops(t *testing.T) {
	runCluster(t, []int{7, 3}, func(t *testing.T, c *cluster) {
		leaving := testAddress(0, 3)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.nodes[leaving].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		took := c.waitFor(5*time.Second, func() bool { return c.holdsAtOthers(leaving, inState(leaving, Leaving)) })
		t.Logf("time from the return of Leave until all other instances showed the instance as leaving: %v, limit 5s", took)
		c.kill(leaving)
		c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(leaving, notInView(leaving)) })
		if known := c.nodes[testAddress(0, 0)].View().KnownCount; known != 6 {
			t.Errorf("View.Known = %d at another instance, want 6: the instance that left must not count", known)
		}
	})
}

// TestUnconfirmedLeaveReturnsAnError announces the leave of an isolated
// instance. Leave must not report success if no other instance received the
// announcement.
func TestUnconfirmedLeaveReturnsAnError(t *testing.T) {
	runCluster(t, []int{3}, func(t *testing.T, c *cluster) {
		leaving := testAddress(0, 2)
		c.network.Isolate(leaving)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.nodes[leaving].Leave(ctx); !errors.Is(err, ErrNotAnnounced) {
			t.Errorf("leave of an isolated instance: got %v, want ErrNotAnnounced", err)
		}
	})
}

// TestRestartAtTheSameAddress restarts an instance with a higher, an equal and
// a lower incarnation. In each case the new record must replace the old one in
// all views.
func TestRestartAtTheSameAddress(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64
	}{
		{"later clock", 9},
		{"same incarnation", firstIncarnation},
		{"clock set back", firstIncarnation - 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
				a := testAddress(0, 3)
				c.nodes[a].SetReady(false)
				time.Sleep(5 * time.Second)
				c.kill(a)
				c.start(0, 3, test.incarnation)
				c.waitFor(5*time.Second, func() bool {
					return c.holdsAtOthers(a, func(v *View) bool {
						m, ok := v.Find(a)
						return ok && m.State == Live && m.Ready && m.Incarnation > firstIncarnation
					})
				})
				c.awaitFullViews()
			})
		})
	}
}

// TestFlappingInstanceIsDamped isolates and reconnects an instance three times.
// It must get no duties right after that, and get duties again within
// maxDamping.
func TestFlappingInstanceIsDamped(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		a := testAddress(0, 3)
		for range 3 {
			c.network.Isolate(a)
			c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(a, notInView(a)) })
			c.network.Heal()
			c.waitFor(10*time.Second, func() bool { return c.holdsAtOthers(a, inState(a, Live)) })
		}
		eligible := func(v *View) bool {
			m, _ := v.Find(a)
			return m.Eligible()
		}
		if c.holdsAtOthers(a, eligible) {
			t.Error("the instance is eligible for duties immediately after its third rejoin, want it damped")
		}
		c.waitFor(maxDamping, func() bool { return c.holdsAtOthers(a, eligible) })
	})
}

// TestAllPeersReplacedAtOnce kills all instances but one and starts others at
// new addresses. The new instances must find each other through the remaining
// one.
func TestAllPeersReplacedAtOnce(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		for i := 1; i < 5; i++ {
			c.kill(testAddress(0, i))
		}
		for i := 5; i < 9; i++ {
			c.start(0, i, firstIncarnation)
		}
		c.awaitFullViews()
	})
}

// TestDataCentreIsolatedAndReconnected cuts a data centre off. Both sides must
// mark each other unreachable without dropping members, and reachable again
// after the cut ends.
func TestDataCentreIsolatedAndReconnected(t *testing.T) {
	runCluster(t, []int{4, 4, 4}, func(t *testing.T, c *cluster) {
		for i := range 4 {
			for j := range 4 {
				c.network.Cut(testAddress(2, i), testAddress(0, j))
				c.network.Cut(testAddress(2, i), testAddress(1, j))
			}
		}
		inside := func(v *View) bool { return v.Self.DataCentre == "dc2" }
		took := c.waitFor(30*time.Second, func() bool {
			return c.holdsAtOthers(netip.AddrPort{}, func(v *View) bool {
				if inside(v) {
					return !v.Reachable("dc0") && !v.Reachable("dc1")
				}
				return !v.Reachable("dc2")
			})
		})
		t.Logf("each side marked the other unreachable in every view after %v, limit 30s", took)
		if got := len(c.nodes[testAddress(2, 0)].View().InDataCentre("dc2")); got != 4 {
			t.Errorf("an instance of the isolated data centre has %d members of that data centre in its view, want 4", got)
		}
		c.network.Heal()
		c.waitFor(30*time.Second, func() bool {
			return c.holdsAtOthers(netip.AddrPort{}, func(v *View) bool {
				return v.Reachable("dc0") && v.Reachable("dc1") && v.Reachable("dc2")
			})
		})
	})
}
