package reverseproxy

import (
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// ServerSelector makes a balancer.Balancer safe for concurrent use, and keeps the budgets
// of repeats. It reads the clock for them.
type ServerSelector struct {
	retries   platform.RetryLimits
	instances func() (live, known int)

	mu      sync.Mutex
	table   *balancer.Balancer
	budgets map[string]*balancer.RetryBudget
}

// NewServerSelector returns a selector over an empty balancer.
func NewServerSelector(o balancer.Options, retries platform.RetryLimits) *ServerSelector {
	return &ServerSelector{
		retries:   retries,
		instances: func() (int, int) { return 1, 1 },
		table:     balancer.New(o),
		budgets:   make(map[string]*balancer.RetryBudget),
	}
}

// SetInstances sets where the number of instances comes from. It is called
// before traffic.
func (c *ServerSelector) SetInstances(count func() (live, known int)) { c.instances = count }

// Instances returns how many instances share budgets and connections.
func (c *ServerSelector) Instances() int {
	_, known := c.instances()
	return known
}

// BeginAttempt chooses a server and counts the attempt there. It refuses without a
// candidate, and if the request should come back later.
func (c *ServerSelector) BeginAttempt(r balancer.Request, candidates []catalog.BackendServer) (balancer.Attempt, *refusal) {
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
	c.table.BeginAttempt(&a, r, now)
	return a, nil
}

// RecordFirstEvent records that the attempt's answer began.
func (c *ServerSelector) RecordFirstEvent(a *balancer.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordFirstEvent(a, time.Now())
}

// RecordEvent records that something more came of the attempt's answer.
func (c *ServerSelector) RecordEvent(a *balancer.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordContact(a.Server.DataCentre, time.Now())
}

// EndAttempt records how the attempt ended.
func (c *ServerSelector) EndAttempt(a *balancer.Attempt, r balancer.AttemptResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.EndAttempt(a, r, time.Now())
}

// CountRequest counts a caller's request to a service.
func (c *ServerSelector) CountRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget(service).CountRequest(time.Now())
}

// AllowRetry reports whether the service's budget allows one more send, and
// takes it.
func (c *ServerSelector) AllowRetry(service string) bool {
	instances := c.Instances()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget(service).AllowRetry(c.retries.Ratio, c.retries.Allowance, instances, time.Now())
}

func (c *ServerSelector) budget(service string) *balancer.RetryBudget {
	b, ok := c.budgets[service]
	if !ok {
		b = balancer.NewRetryBudget(c.retries.Window)
		c.budgets[service] = b
	}
	return b
}

// Reports returns what to tell other instances.
func (c *ServerSelector) Reports(now time.Time) []balancer.ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ExpireReports(now)
	return c.table.Reports(now)
}

// Summary returns what to tell other data centres of the servers: the sums over
// this one's instances.
func (c *ServerSelector) Summary(now time.Time) []balancer.ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Summary(now)
}

// ReceiveSummary takes in the sums that another data centre told.
func (c *ServerSelector) ReceiveSummary(dataCentre string, reports []balancer.ServerReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReceiveSummary(dataCentre, reports, now)
}

// ReceiveReports takes in what another instance told.
func (c *ServerSelector) ReceiveReports(peer, dataCentre string, reports []balancer.ServerReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReceiveReports(peer, dataCentre, reports, now)
}

// HealthChanges returns which servers and data centres are held differently since
// the last call.
func (c *ServerSelector) HealthChanges(now time.Time) []balancer.HealthChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.HealthChanges(now)
}

// RetriesLeft is how many more sends a service's budget allows an instance.
type RetriesLeft struct {
	Service string
	Sends   int
}

// RetriesLeft returns what is left of the budget of each service that had
// requests.
func (c *ServerSelector) RetriesLeft(now time.Time) []RetriesLeft {
	instances := c.Instances()
	c.mu.Lock()
	defer c.mu.Unlock()
	left := make([]RetriesLeft, 0, len(c.budgets))
	for service, b := range c.budgets {
		left = append(left, RetriesLeft{service, b.Remaining(c.retries.Ratio, c.retries.Allowance, instances, now)})
	}
	return left
}

// RetainServers drops what is known of servers and services that the snapshot lacks.
func (c *ServerSelector) RetainServers(s *catalog.Snapshot) {
	wanted := make(map[uint64]bool, len(s.Servers))
	for _, b := range s.Servers {
		wanted[balancer.ServerKey(b)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RetainServers(func(key uint64) bool { return wanted[key] })
	for name := range c.budgets {
		if _, ok := s.Service(name); !ok {
			delete(c.budgets, name)
		}
	}
}
