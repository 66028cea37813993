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

// first is the incarnation number of the instances at the start.
const first = 5

// cluster runs instances over one memory network in virtual time.
type cluster struct {
	t       *testing.T
	network *memnet.Network
	nodes   map[netip.AddrPort]*node
	order   []netip.AddrPort
}

type node struct {
	*Group
	endpoint *memnet.Endpoint
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

func address(dataCentre, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre), byte(i >> 8), byte(i)}), 7000)
}

// run starts sizes[i] instances in data centre i and lets them find each other.
func run(t *testing.T, sizes []int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for dc, n := range sizes {
			for i := range n {
				c.start(dc, i, first)
			}
		}
		c.settle()
		test(t, c)
	})
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, network: memnet.New(1), nodes: make(map[netip.AddrPort]*node)}
	c.network.SetDelay(time.Millisecond)
	return c
}

func (c *cluster) start(dc, i int, incarnation uint64) *node {
	a := address(dc, i)
	seeds := []netip.AddrPort{address(0, 0), address(0, 1), address(1, 0)}
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

// kill ends an instance without a word.
func (c *cluster) kill(a netip.AddrPort) {
	n := c.nodes[a]
	n.stop()
	n.endpoint.Close()
	n.tasks.Wait()
	delete(c.nodes, a)
}

func (c *cluster) close() {
	for _, a := range c.order {
		c.network.Thaw(a)
		if c.nodes[a] != nil {
			c.kill(a)
		}
	}
	synctest.Wait()
}

func (c *cluster) settle() {
	c.within(30*time.Second, func() bool {
		for _, n := range c.nodes {
			if len(n.View().Members) != len(c.nodes) {
				return false
			}
		}
		return true
	})
}

// within waits until cond holds and returns the time that it took.
func (c *cluster) within(limit time.Duration, cond func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			c.t.Fatalf("not so after %v", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// always checks cond over a time.
func (c *cluster) always(d time.Duration, cond func() error) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err := cond(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// others reports whether cond holds at every instance but the one at a.
func (c *cluster) others(a netip.AddrPort, cond func(v *View) bool) bool {
	for _, n := range c.nodes {
		if n.endpoint.Local() != a && !cond(n.View()) {
			return false
		}
	}
	return true
}

func absent(a netip.AddrPort) func(v *View) bool {
	return func(v *View) bool {
		_, ok := v.Find(a)
		return !ok
	}
}

func inState(a netip.AddrPort, s State) func(v *View) bool {
	return func(v *View) bool {
		m, ok := v.Find(a)
		return ok && m.State == s
	}
}
