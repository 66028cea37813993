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
	testModel   = "m"
	testServers = 4
	testSlots   = 4
	serviceTime = 50 * time.Millisecond
)

// cluster runs instances with membership and schedulers over an in-memory
// network in virtual time. It simulates the backend servers on which requests
// run.
type cluster struct {
	t       *testing.T
	network *memnet.Network
	nodes   map[netip.AddrPort]*node
	all     []*node

	class string // service class of new requests
	pools int    // number of pools that the requests use in turn; if 0, all requests use testModel's pool

	mu             sync.Mutex
	requestCount   uint64
	open           int // requests that have not ended
	outcomes       map[outcome.Final]int
	runs           map[schedcore.RequestID]int // number of grants by request
	reasons        map[outcome.Reason]int
	waits          []time.Duration // each request's wait for its first grant
	withoutOutcome int             // requests that got no outcome within a minute although their instance was running
	falseRefusals  int             // refusals that stated that the request had not run, although it had
	callers        sync.WaitGroup
}

// node is one running or stopped instance.
type node struct {
	name     string
	group    *membership.Group
	local    *Local
	remote   *Remote
	endpoint *memnet.Endpoint
	stopped  atomic.Bool
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

// address returns the address of instance i of data centre dc.
func address(dc, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), 0, byte(i)}), 7000)
}

// runCluster starts sizes[i] instances in data centre i, gives them time to find
// each other, and runs the test.
func runCluster(t *testing.T, sizes []int, test func(t *testing.T, c *cluster)) {
	runClusterWithPools(t, sizes, 0, test)
}

// runClusterWithPools does the same as runCluster, but the requests use the given
// number of pools in turn.
func runClusterWithPools(t *testing.T, sizes []int, pools int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:        t,
			class:    "c",
			pools:    pools,
			network:  memnet.New(1),
			nodes:    make(map[netip.AddrPort]*node),
			outcomes: make(map[outcome.Final]int),
			runs:     make(map[schedcore.RequestID]int),
			reasons:  make(map[outcome.Reason]int),
		}
		c.network.SetDelay(500 * time.Microsecond)
		defer c.close()
		for dc, n := range sizes {
			for i := range n {
				c.startNode(dc, i, 1)
			}
		}
		time.Sleep(5 * time.Second)
		test(t, c)
	})
}

// testConfig returns a configuration with testServers backend servers in each
// data centre and two service classes: "c" with long time limits and "tight" with
// short ones.
func testConfig(dataCentres, pools int) *config.Snapshot {
	s := &config.Snapshot{
		Classes:        map[string]config.Entry[api.ServiceClassSpec]{},
		BackendServers: map[string]config.Entry[api.BackendServerSpec]{},
	}
	class := api.ServiceClassSpec{FirstToken: api.Duration(20 * time.Second), MaxWait: api.Duration(time.Minute)}
	tight := api.ServiceClassSpec{FirstToken: api.Duration(200 * time.Millisecond), MaxWait: api.Duration(500 * time.Millisecond)}
	s.Classes["tight"] = config.Entry[api.ServiceClassSpec]{Name: "tight", Spec: tight}
	s.Classes["c"] = config.Entry[api.ServiceClassSpec]{Name: "c", Spec: class}
	models := []string{testModel}
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

// startNode starts instance i of data centre dc.
func (c *cluster) startNode(dc, i int, incarnation uint64) *node {
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
	n.local.Configure(testConfig(3, c.pools))
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

// liveNodes returns the running instances in the order in which they were
// started.
func (c *cluster) liveNodes() []*node {
	var out []*node
	for _, n := range c.all {
		if c.nodes[n.endpoint.Local()] == n {
			out = append(out, n)
		}
	}
	return out
}

// crash stops an instance. It closes the connection first, so that the instance
// sends no further message.
func (c *cluster) crash(a netip.AddrPort) {
	c.nodes[a].endpoint.Close()
	c.shutDown(a)
}

// shutDown stops an instance as a graceful shutdown does: the instance can still
// send messages while it stops.
func (c *cluster) shutDown(a netip.AddrPort) {
	n := c.nodes[a]
	delete(c.nodes, a)
	n.stopped.Store(true)
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
	for _, n := range c.liveNodes() {
		c.crash(n.endpoint.Local())
	}
	synctest.Wait()
}

func poolModel(i int) string { return fmt.Sprintf("%s%d", testModel, i) }

// nextModel returns the model of the next request.
func (c *cluster) nextModel() string {
	if c.pools == 0 {
		return testModel
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return poolModel(int(c.requestCount) % c.pools)
}

// schedulerAddress returns the address of testModel's scheduler in a data
// centre, according to the view of one of that data centre's instances.
func (c *cluster) schedulerAddress(dc int) netip.AddrPort {
	for _, n := range c.liveNodes() {
		if v := n.group.View(); v.Self.DataCentre == fmt.Sprintf("dc%d", dc) {
			n.remote.mu.Lock()
			defer n.remote.mu.Unlock()
			return n.remote.schedulerAddress(rendezvous.Pool{Model: testModel, DataCentre: v.Self.DataCentre})
		}
	}
	return netip.AddrPort{}
}

// otherInstance returns the address of a running instance of data centre 0, other
// than the excluded ones.
func (c *cluster) otherInstance(except ...netip.AddrPort) netip.AddrPort {
	for i := range 20 {
		a := address(0, i)
		if c.nodes[a] != nil && !slices.Contains(except, a) {
			return a
		}
	}
	c.t.Fatal("data centre 0 has no running instance besides the excluded ones")
	return netip.AddrPort{}
}

// startRequest simulates a caller at one instance until the request ends or the
// caller gives up.
func (c *cluster) startRequest(n *node, idempotent bool, service time.Duration) {
	c.mu.Lock()
	c.requestCount++
	c.open++
	var id schedcore.RequestID
	binary.BigEndian.PutUint64(id[:], c.requestCount)
	c.mu.Unlock()
	start := time.Now()
	session := n.remote.Submit(context.Background(), schedcore.Ticket{
		ID: id, Model: c.nextModel(), Class: c.class, Organisation: "o",
		PromptTokens: 100, MaxTokens: 100, Idempotent: idempotent,
	})
	c.callers.Go(func() {
		final := c.runCaller(session, id, start, service)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open--
		c.outcomes[final]++
		if final == outcome.Abandoned && !n.stopped.Load() {
			c.withoutOutcome++
		}
	})
}

// runCaller simulates the request's caller and its backend server, and returns
// the request's outcome. An attempt runs for the given service time.
func (c *cluster) runCaller(session Session, id schedcore.RequestID, start time.Time, service time.Duration) outcome.Final {
	callerTimeout := time.After(time.Minute)
	var done <-chan time.Time
	var attempt uint32
	for {
		select {
		case decision := <-session.Decisions():
			switch decision.Kind {
			case Refused:
				c.mu.Lock()
				c.reasons[decision.Reason]++
				if decision.Final == outcome.Refused && attempt > 0 {
					c.falseRefusals++
				}
				c.mu.Unlock()
				return decision.Final
			case Preempted:
				done = nil
			case Granted:
				c.mu.Lock()
				c.runs[id]++
				if c.runs[id] == 1 {
					c.waits = append(c.waits, time.Since(start))
				}
				c.mu.Unlock()
				attempt = decision.Attempt
				done = time.After(service)
				session.FirstToken(attempt, service/5)
			}
		case <-done:
			session.Progress(attempt, 100, time.Millisecond)
			session.Complete(schedcore.Completion{ID: id, Attempt: attempt, PromptTokens: 100, Tokens: 100})
			return outcome.Completed
		case <-callerTimeout:
			session.Withdraw()
			return outcome.Abandoned
		}
	}
}

// loadAll submits requests in the given number of rounds. In each round it submits
// one request at each running instance, except the excluded ones, and then pauses
// for the given gap.
func (c *cluster) loadAll(rounds int, gap time.Duration, except ...netip.AddrPort) {
	for range rounds {
		for _, n := range c.liveNodes() {
			if !slices.Contains(except, n.endpoint.Local()) {
				c.startRequest(n, false, serviceTime)
			}
		}
		time.Sleep(gap)
	}
}

// finishAndCheck waits until all requests have ended, and checks that each
// request ran once and completed and that no scheduler still hosts a session.
func (c *cluster) finishAndCheck() {
	c.t.Helper()
	c.callers.Wait()
	c.checkNoSessionsLeft()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.runs {
		if n > 1 {
			c.t.Errorf("request %x ran %d times, want once", id[:8], n)
		}
	}
	if got := c.outcomes[outcome.Completed]; got != int(c.requestCount) {
		c.t.Errorf("%d of %d requests completed, want all; outcomes %v, refusal reasons %v", got, c.requestCount, c.outcomes, c.reasons)
	}
}

// checkNoSessionsLeft waits until each scheduler has asked the entry instances
// about sessions that got no recent message. It then checks that no scheduler
// hosts a session.
func (c *cluster) checkNoSessionsLeft() {
	c.t.Helper()
	time.Sleep(3 * DefaultEntryInstanceTimeout)
	for _, n := range c.liveNodes() {
		n.remote.hosting.mu.Lock()
		for a, e := range n.remote.hosting.entryInstances {
			if len(e.sessions) > 0 {
				c.t.Errorf("%s still hosts %d sessions of %v, want none", n.name, len(e.sessions), a)
			}
		}
		n.remote.hosting.mu.Unlock()
	}
}

// startedRequests returns the number of requests that got a grant.
func (c *cluster) startedRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// longestWait returns the longest time that a request waited for its first
// grant.
func (c *cluster) longestWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for _, w := range c.waits {
		longest = max(longest, w)
	}
	return longest
}

// countEvents returns how often the event happened, summed over all instances
// including stopped ones.
func (c *cluster) countEvents(e Event) uint64 {
	var sum uint64
	for _, n := range c.all {
		sum += n.remote.events[e].Load()
	}
	return sum
}
