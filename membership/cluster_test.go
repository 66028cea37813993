package membership

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/peer/memnet"
)

// firstIncarnation is the incarnation number of the instances that a test
// starts first.
const firstIncarnation = 5

// cluster runs instances on one in-memory network in virtual time.
type cluster struct {
	t       *testing.T
	network *memnet.Network
	nodes   map[netip.AddrPort]*node
	order   []netip.AddrPort // the addresses in order of the instances' first start
}

// node is one running instance of a cluster.
type node struct {
	*Group
	endpoint *memnet.Endpoint
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

// testAddress returns the address of instance i of a data centre.
func testAddress(dataCentre, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre), byte(i >> 8), byte(i)}), 7000)
}

// runCluster starts sizes[i] instances in data centre i, waits until each has
// all others in its view, and runs test.
func runCluster(t *testing.T, sizes []int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for dc, n := range sizes {
			for i := range n {
				c.start(dc, i, firstIncarnation)
			}
		}
		c.awaitFullViews()
		test(t, c)
	})
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, network: memnet.New(1), nodes: make(map[netip.AddrPort]*node)}
	c.network.SetDelay(time.Millisecond)
	return c
}

// start starts instance i of data centre dc. If the instance was started
// before, it restarts at the same address.
func (c *cluster) start(dc, i int, incarnation uint64) *node {
	a := testAddress(dc, i)
	seeds := []netip.AddrPort{testAddress(0, 0), testAddress(0, 1), testAddress(1, 0)}
	n := &node{endpoint: c.network.Listen(a)}
	n.Group = New(Options{
		Name:        fmt.Sprintf("i%d-%d", dc, i),
		DataCentre:  fmt.Sprintf("dc%d", dc),
		Transport:   n.endpoint,
		Seeds:       seeds,
		Incarnation: incarnation,
		Seed:        uint64(dc*1000 + i),
	})
	n.SetReady(true)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.tasks.Go(func() { n.Run(ctx) })
	if _, again := c.nodes[a]; !again {
		c.order = append(c.order, a)
	}
	c.nodes[a] = n
	return n
}

// kill stops an instance without announcing it.
func (c *cluster) kill(a netip.AddrPort) {
	n := c.nodes[a]
	n.stop()
	n.endpoint.Close()
	n.tasks.Wait()
	delete(c.nodes, a)
}

// close thaws and stops all instances.
func (c *cluster) close() {
	for _, a := range c.order {
		c.network.Thaw(a)
		if c.nodes[a] != nil {
			c.kill(a)
		}
	}
	synctest.Wait()
}

// awaitFullViews waits until every running instance has all running instances in
// its view.
func (c *cluster) awaitFullViews() {
	c.waitFor(30*time.Second, func() bool {
		for _, n := range c.nodes {
			if len(n.View().Members) != len(c.nodes) {
				return false
			}
		}
		return true
	})
}

// waitFor waits until cond holds and returns how long it took. It fails the
// test after limit.
func (c *cluster) waitFor(limit time.Duration, cond func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			c.t.Fatalf("the condition is still false after %v, want it true by then", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// checkDuring checks cond repeatedly for the duration d and fails the test at
// its first error.
func (c *cluster) checkDuring(d time.Duration, cond func() error) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err := cond(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// holdsAtOthers reports whether cond returns true for the view of every running
// instance except the one at the address a.
func (c *cluster) holdsAtOthers(a netip.AddrPort, cond func(v *View) bool) bool {
	for _, n := range c.nodes {
		if n.endpoint.Local() != a && !cond(n.View()) {
			return false
		}
	}
	return true
}

// notInView returns a function that reports whether a view has no member at the
// address a.
func notInView(a netip.AddrPort) func(v *View) bool {
	return func(v *View) bool {
		_, ok := v.Find(a)
		return !ok
	}
}

// inState returns a function that reports whether a view has a member in state
// s at the address a.
func inState(a netip.AddrPort, s State) func(v *View) bool {
	return func(v *View) bool {
		m, ok := v.Find(a)
		return ok && m.State == s
	}
}
