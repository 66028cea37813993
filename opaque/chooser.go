package opaque

import (
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/choice"
	"bergamotpin.example/bergamotpin/directory"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// Chooser makes a choice.Table safe for concurrent use, and keeps the budgets
// of repeats. It reads the clock for them.
type Chooser struct {
	retries   platform.RetryLimits
	instances func() (live, known int)

	mu      sync.Mutex
	table   *choice.Table
	budgets map[string]*choice.Budget
}

// NewChooser returns a chooser over an empty table.
func NewChooser(o choice.Options, retries platform.RetryLimits) *Chooser {
	return &Chooser{
		retries:   retries,
		instances: func() (int, int) { return 1, 1 },
		table:     choice.NewTable(o),
		budgets:   make(map[string]*choice.Budget),
	}
}

// SetInstances sets where the number of instances comes from. It is called
// before traffic.
func (c *Chooser) SetInstances(count func() (live, known int)) { c.instances = count }

// Instances returns how many instances share budgets and connections.
func (c *Chooser) Instances() int {
	_, known := c.instances()
	return known
}

// Begin chooses a server and counts the attempt there. It refuses without a
// candidate, and if the request should come back later.
func (c *Chooser) Begin(r choice.Request, candidates []directory.BackendServer) (choice.Attempt, *refusal) {
	now := time.Now()
	instances := c.Instances()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetInstances(instances)
	a, ok := c.table.Choose(r, candidates, now)
	if !ok {
		return a, notRun(outcome.NoBackendServer, returnSoon)
	}
	if reason, later := c.table.Admit(r, a, now); reason != outcome.ReasonNone {
		return a, notRun(reason, later)
	}
	c.table.Begin(&a, r, now)
	return a, nil
}

// FirstEvent records that the attempt's answer began.
func (c *Chooser) FirstEvent(a *choice.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.FirstEvent(a, time.Now())
}

// Event records that something more came of the attempt's answer.
func (c *Chooser) Event(a *choice.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Heard(a.Server.DataCentre, time.Now())
}

// End records how the attempt ended.
func (c *Chooser) End(a *choice.Attempt, r choice.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.End(a, r, time.Now())
}

// CountRequest counts a caller's request to a service.
func (c *Chooser) CountRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget(service).Request(time.Now())
}

// MayRepeat reports whether the service's budget allows one more send, and
// takes it.
func (c *Chooser) MayRepeat(service string) bool {
	instances := c.Instances()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget(service).Repeat(c.retries.Ratio, c.retries.Slack, instances, time.Now())
}

func (c *Chooser) budget(service string) *choice.Budget {
	b, ok := c.budgets[service]
	if !ok {
		b = choice.NewBudget(c.retries.Window)
		c.budgets[service] = b
	}
	return b
}

// Reports returns what to tell other instances.
func (c *Chooser) Reports(now time.Time) []choice.ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(now)
	return c.table.Report(now)
}

// Digest returns what to tell other data centres of the servers: the sums over
// this one's instances.
func (c *Chooser) Digest(now time.Time) []choice.ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Digest(now)
}

// ReceiveDigest takes in the sums that another data centre told.
func (c *Chooser) ReceiveDigest(dataCentre string, reports []choice.ServerReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReceiveDigest(dataCentre, reports, now)
}

// Receive takes in what another instance told.
func (c *Chooser) Receive(peer, dataCentre string, reports []choice.ServerReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Receive(peer, dataCentre, reports, now)
}

// Standings returns which servers and data centres are held differently since
// the last call.
func (c *Chooser) Standings(now time.Time) []choice.StandingChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Standings(now)
}

// RepeatsLeft is how many more sends a service's budget allows an instance.
type RepeatsLeft struct {
	Service string
	Sends   int
}

// RepeatsLeft returns what is left of the budget of each service that had
// requests.
func (c *Chooser) RepeatsLeft(now time.Time) []RepeatsLeft {
	instances := c.Instances()
	c.mu.Lock()
	defer c.mu.Unlock()
	left := make([]RepeatsLeft, 0, len(c.budgets))
	for service, b := range c.budgets {
		left = append(left, RepeatsLeft{service, b.Left(c.retries.Ratio, c.retries.Slack, instances, now)})
	}
	return left
}

// Forget drops what is known of servers and services that the snapshot lacks.
func (c *Chooser) Forget(s *directory.Snapshot) {
	wanted := make(map[uint64]bool, len(s.Servers))
	for _, b := range s.Servers {
		wanted[choice.ServerKey(b)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Forget(func(key uint64) bool { return wanted[key] })
	for name := range c.budgets {
		if _, ok := s.Service(name); !ok {
			delete(c.budgets, name)
		}
	}
}
