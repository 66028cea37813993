package scheduler

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/peer/memnet"
	"bergamotpin.example/bergamotpin/rendezvous"
	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	model       = "m"
	testServers = 4
	testSlots   = 4
	serviceTime = 50 * time.Millisecond
)

// cluster runs instances with membership and schedulers over one memory
// network in virtual time. Requests run on servers that it plays itself.
type cluster struct {
	t       *testing.T
	network *memnet.Network
	nodes   map[netip.AddrPort]*node
	all     []*node

	class string // of the requests
	pools int    // that the requests go to in turn, 0 for model alone

	mu      sync.Mutex
	next    uint64
	open    int
	ended   map[outcome.Final]int
	runs    map[schedcore.RequestID]int
	reasons map[outcome.Reason]int
	waits   []time.Duration // until the first grant
	hung    int             // requests without an end at instances that run
	lies    int             // refusals as not run of requests that ran
	callers sync.WaitGroup
}

type node struct {
	name     string
	group    *membership.Group
	local    *Local
	remote   *Remote
	endpoint *memnet.Endpoint
	over     atomic.Bool
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

func address(dc, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), 0, byte(i)}), 7000)
}

func run(t *testing.T, sizes []int, test func(t *testing.T, c *cluster)) {
	runPools(t, sizes, 0, test)
}

func runPools(t *testing.T, sizes []int, pools int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:       t,
			class:   "c",
			pools:   pools,
			network: memnet.New(1),
			nodes:   make(map[netip.AddrPort]*node),
			ended:   make(map[outcome.Final]int),
			runs:    make(map[schedcore.RequestID]int),
			reasons: make(map[outcome.Reason]int),
		}
		c.network.SetDelay(500 * time.Microsecond)
		defer c.close()
		for dc, n := range sizes {
			for i := range n {
				c.start(dc, i, 1)
			}
		}
		time.Sleep(5 * time.Second)
		test(t, c)
	})
}

func snapshot(dataCentres, pools int) *config.Snapshot {
	s := &config.Snapshot{
		Classes:        map[string]config.Entry[api.ServiceClassSpec]{},
		BackendServers: map[string]config.Entry[api.BackendServerSpec]{},
	}
	class := api.ServiceClassSpec{FirstToken: api.Duration(20 * time.Second), MaxWait: api.Duration(time.Minute)}
	tight := api.ServiceClassSpec{FirstToken: api.Duration(200 * time.Millisecond), MaxWait: api.Duration(500 * time.Millisecond)}
	s.Classes["tight"] = config.Entry[api.ServiceClassSpec]{Name: "tight", Spec: tight}
	s.Classes["c"] = config.Entry[api.ServiceClassSpec]{Name: "c", Spec: class}
	models := []string{model}
	for i := range pools {
		models = append(models, poolModel(i))
	}
	for dc := range dataCentres {
		for i := range testServers {
			name := fmt.Sprintf("s%d-%d", dc, i)
			s.BackendServers[name] = config.Entry[api.BackendServerSpec]{Name: name, Spec: api.BackendServerSpec{
				DataCentre: fmt.Sprintf("dc%d", dc), Models: models, Slots: testSlots,
			}}
		}
	}
	return s
}

func (c *cluster) start(dc, i int, incarnation uint64) *node {
	a := address(dc, i)
	n := &node{name: fmt.Sprintf("i%d-%d", dc, i), endpoint: c.network.Listen(a)}
	n.group = membership.New(membership.Options{
		Name:        n.name,
		DataCentre:  fmt.Sprintf("dc%d", dc),
		Transport:   n.endpoint,
		Seeds:       []netip.AddrPort{address(0, 0), address(0, 1), address(1, 0)},
		Incarnation: incarnation,
		Seed:        uint64(dc*1000 + i),
	})
	n.local = NewLocal(LocalOptions{DataCentre: fmt.Sprintf("dc%d", dc)})
	n.local.Configure(snapshot(3, c.pools))
	n.remote = NewRemote(RemoteOptions{Transport: n.endpoint, Membership: n.group, Local: n.local})
	n.group.SetReady(true)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.tasks.Go(func() { n.group.Run(ctx) })
	n.tasks.Go(func() { n.remote.Run(ctx) })
	c.nodes[a] = n
	c.all = append(c.all, n)
	return n
}

// live returns the instances that run, in the order of their start.
func (c *cluster) live() []*node {
	var out []*node
	for _, n := range c.all {
		if c.nodes[n.endpoint.Local()] == n {
			out = append(out, n)
		}
	}
	return out
}

// kill ends an instance without a word.
func (c *cluster) kill(a netip.AddrPort) {
	c.nodes[a].endpoint.Close()
	c.end(a)
}

// end stops an instance as a graceful shutdown does.
func (c *cluster) end(a netip.AddrPort) {
	n := c.nodes[a]
	delete(c.nodes, a)
	n.over.Store(true)
	n.stop()
	n.tasks.Wait()
	n.endpoint.Close()
	n.local.Close()
}

func (c *cluster) close() {
	for _, n := range c.all {
		c.network.Thaw(n.endpoint.Local())
	}
	c.callers.Wait()
	for _, n := range c.live() {
		c.kill(n.endpoint.Local())
	}
	synctest.Wait()
}

func poolModel(i int) string { return fmt.Sprintf("%s%d", model, i) }

// model returns the next request's model.
func (c *cluster) model() string {
	if c.pools == 0 {
		return model
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return poolModel(int(c.next) % c.pools)
}

// scheduler returns the address of the model's scheduler in a data centre, by
// the view of one of its instances.
func (c *cluster) scheduler(dc int) netip.AddrPort {
	for _, n := range c.live() {
		if v := n.group.View(); v.Self.DataCentre == fmt.Sprintf("dc%d", dc) {
			n.remote.mu.Lock()
			defer n.remote.mu.Unlock()
			return n.remote.first(rendezvous.Pool{Model: model, DataCentre: v.Self.DataCentre})
		}
	}
	return netip.AddrPort{}
}

// other returns an instance of data centre 0 besides the ones at except.
func (c *cluster) other(except ...netip.AddrPort) netip.AddrPort {
	for i := range 20 {
		a := address(0, i)
		if c.nodes[a] != nil && !slices.Contains(except, a) {
			return a
		}
	}
	c.t.Fatal("no other instance")
	return netip.AddrPort{}
}

// request plays a caller at one instance until the request ends or the caller
// gives up.
func (c *cluster) request(n *node, idempotent bool, service time.Duration) {
	c.mu.Lock()
	c.next++
	c.open++
	var id schedcore.RequestID
	binary.BigEndian.PutUint64(id[:], c.next)
	c.mu.Unlock()
	start := time.Now()
	session := n.remote.Submit(context.Background(), schedcore.Ticket{
		ID: id, Model: c.model(), Class: c.class, Organisation: "o",
		PromptTokens: 100, MaxTokens: 100, Idempotent: idempotent,
	})
	c.callers.Go(func() {
		final := c.play(session, id, start, service)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open--
		c.ended[final]++
		if final == outcome.Abandoned && !n.over.Load() {
			c.hung++
		}
	})
}

func (c *cluster) play(session Session, id schedcore.RequestID, start time.Time, service time.Duration) outcome.Final {
	giveUp := time.After(time.Minute)
	var done <-chan time.Time
	var attempt uint32
	for {
		select {
		case v := <-session.Decisions():
			switch v.Kind {
			case Refused:
				c.mu.Lock()
				c.reasons[v.Reason]++
				if v.Final == outcome.Refused && attempt > 0 {
					c.lies++
				}
				c.mu.Unlock()
				return v.Final
			case Preempted:
				done = nil
			case Granted:
				c.mu.Lock()
				c.runs[id]++
				if c.runs[id] == 1 {
					c.waits = append(c.waits, time.Since(start))
				}
				c.mu.Unlock()
				attempt = v.Attempt
				done = time.After(service)
				session.FirstToken(attempt, service/5)
			}
		case <-done:
			session.Progress(attempt, 100, time.Millisecond)
			session.Complete(schedcore.Completion{ID: id, Attempt: attempt, PromptTokens: 100, Tokens: 100})
			return outcome.Completed
		case <-giveUp:
			session.Withdraw()
			return outcome.Abandoned
		}
	}
}

// load submits a request at each live instance, n times, gap apart.
func (c *cluster) load(n int, gap time.Duration, except ...netip.AddrPort) {
	for range n {
		for _, n := range c.live() {
			if !slices.Contains(except, n.endpoint.Local()) {
				c.request(n, false, serviceTime)
			}
		}
		time.Sleep(gap)
	}
}

// finish waits for the callers and checks that each request ended once, whole.
func (c *cluster) finish() {
	c.t.Helper()
	c.callers.Wait()
	c.checkNothingHeld()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.runs {
		if n > 1 {
			c.t.Errorf("request %x ran %d times", id[:8], n)
		}
	}
	if got := c.ended[outcome.Completed]; got != int(c.next) {
		c.t.Errorf("completed %d of %d, ended %v, refused for %v", got, c.next, c.ended, c.reasons)
	}
}

// checkNothingHeld waits for the checks of quiet sessions and then finds none
// at any scheduler.
func (c *cluster) checkNothingHeld() {
	c.t.Helper()
	time.Sleep(3 * DefaultEntryTimeout)
	for _, n := range c.live() {
		n.remote.host.mu.Lock()
		for a, e := range n.remote.host.entries {
			if len(e.sessions) > 0 {
				c.t.Errorf("%s still holds %d sessions of %v", n.name, len(e.sessions), a)
			}
		}
		n.remote.host.mu.Unlock()
	}
}

// started counts the requests that ran.
func (c *cluster) started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

func (c *cluster) longestWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for _, w := range c.waits {
		longest = max(longest, w)
	}
	return longest
}

func (c *cluster) count(e Event) uint64 {
	var sum uint64
	for _, n := range c.all {
		sum += n.remote.events[e].Load()
	}
	return sum
}
