package reverseproxy

import (
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/edge/serverstate"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// ServerSelector makes a balancer.Balancer safe for concurrent use and keeps a
// retry budget for each service. It passes the current time to the balancer and
// the budgets, because they don't read the clock.
type ServerSelector struct {
	retries platform.RetryLimits
	// instances counts the instances, including this one. live is the number of
	// instances from which messages arrive. known also counts the instances that
	// were live a short time ago.
	instances func() (live, known int)
	limits    *serverlimit.Table
	states    *serverstate.Table

	mu       sync.Mutex
	balancer *balancer.Balancer
	budgets  map[string]*balancer.RetryBudget
}

// NewServerSelector returns a selector over an empty balancer. It keeps to the limits.
func NewServerSelector(o balancer.Options, retries platform.RetryLimits, limits *serverlimit.Table, states *serverstate.Table) *ServerSelector {
	return &ServerSelector{
		retries:   retries,
		limits:    limits,
		states:    states,
		instances: func() (int, int) { return 1, 1 },
		balancer:  balancer.New(o),
		budgets:   make(map[string]*balancer.RetryBudget),
	}
}

// SetInstances sets the function that counts the instances, including this one.
// live is the number of instances from which messages arrive. known also counts
// the instances that were live a short time ago. SetInstances must be called
// before requests are served.
func (s *ServerSelector) SetInstances(count func() (live, known int)) { s.instances = count }

// Instances returns the number of known instances. This instance's share of the
// retry allowance and of the servers' connection limits is the whole divided by
// this number.
func (s *ServerSelector) Instances() int {
	_, known := s.instances()
	return known
}

// beginFunc is BeginAttempt or BeginFurtherAttempt.
type beginFunc func(r balancer.Request, candidates []catalog.BackendServer) (balancer.Attempt, *refusal)

// BeginAttempt chooses a server and counts the attempt there. It refuses the
// request if there is no candidate, or if the balancer does not admit it now.
func (s *ServerSelector) BeginAttempt(r balancer.Request, candidates []catalog.BackendServer) (balancer.Attempt, *refusal) {
	instances := s.Instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begin(r, candidates, instances, acceptAny)
}

// BeginFurtherAttempt is like BeginAttempt, but also refuses the request if the service's
// retry budget is spent. It takes one retry from the budget only if it counts an attempt.
func (s *ServerSelector) BeginFurtherAttempt(r balancer.Request, candidates []catalog.BackendServer) (balancer.Attempt, *refusal) {
	return s.beginFurther(r, candidates, acceptAny)
}

// beginFurther is BeginFurtherAttempt for an attempt that accept may reject.
func (s *ServerSelector) beginFurther(r balancer.Request, candidates []catalog.BackendServer, accept acceptFunc) (balancer.Attempt, *refusal) {
	now := time.Now()
	instances := s.Instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budget(r.Service.Name)
	if budget.Remaining(s.retries.Ratio, s.retries.Allowance, instances, now) < 1 {
		return balancer.Attempt{}, refuseNotRun(outcome.RetryBudgetSpent, retrySoon)
	}
	a, refused := s.begin(r, candidates, instances, accept)
	if refused == nil {
		budget.AllowRetry(s.retries.Ratio, s.retries.Allowance, instances, now)
	}
	return a, refused
}

// beginSecond is beginFurther for a request whose first attempt has not failed. It also refuses
// the attempt while over half of the service's retries are spent: the rest is for requests that
// have failed.
func (s *ServerSelector) beginSecond(r balancer.Request, candidates []catalog.BackendServer, accept acceptFunc) (balancer.Attempt, *refusal) {
	if !s.halfOfRetriesRemains(r.Service.Name) {
		return balancer.Attempt{}, refuseNotRun(outcome.RetryBudgetSpent, retrySoon)
	}
	return s.beginFurther(r, candidates, accept)
}

func (s *ServerSelector) halfOfRetriesRemains(service string) bool {
	instances := s.Instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).HalfRemains(s.retries.Ratio, s.retries.Allowance, instances, time.Now())
}

// acceptFunc decides whether the chosen attempt is made, from the load of all candidates. It
// returns a refusal if not. The balancer may only be read.
type acceptFunc func(a *balancer.Attempt, load func() balancer.ServiceLoad) *refusal

func acceptAny(*balancer.Attempt, func() balancer.ServiceLoad) *refusal { return nil }

// begin is BeginAttempt for a caller that holds the lock.
func (s *ServerSelector) begin(r balancer.Request, candidates []catalog.BackendServer, instances int, accept acceptFunc) (balancer.Attempt, *refusal) {
	now := time.Now()
	s.balancer.SetInstances(instances)
	candidates, refused := s.notFull(candidates, instances)
	if refused != nil {
		return balancer.Attempt{}, refused
	}
	candidates, refused = s.withRoom(r, candidates, now)
	if refused != nil {
		return balancer.Attempt{}, refused
	}
	a, ok := s.balancer.Choose(r, candidates, now)
	if !ok {
		return a, refuseNotRun(outcome.NoBackendServer, retrySoon)
	}
	load := func() balancer.ServiceLoad { return s.balancer.ServiceLoad(r.Service, candidates, now) }
	if refused := accept(&a, load); refused != nil {
		return a, refused
	}
	if reason, retryAfter := s.balancer.Admit(r, &a, now); reason != outcome.ReasonNone {
		refused := refuseNotRun(reason, retryAfter)
		refused.overload = &overloadDetails{attempt: a, reports: s.balancer.ReportsInUse(now)}
		return a, refused
	}
	s.limits.Take(a.Key, now)
	s.balancer.BeginAttempt(&a, r, now)
	return a, nil
}

// RecordFirstEvent records that the attempt's response began. It reports whether that was not
// recorded before.
func (s *ServerSelector) RecordFirstEvent(a *balancer.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RecordFirstEvent(a, time.Now())
}

// RecordEvent records that more of the attempt's response arrived. This shows
// that the server's data centre is reachable, and how fast the server is.
func (s *ServerSelector) RecordEvent(a *balancer.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.balancer.RecordContact(a.Server.DataCentre, now)
	s.balancer.RecordEvent(a, now)
}

// EndAttempt records how the attempt ended.
func (s *ServerSelector) EndAttempt(a *balancer.Attempt, r balancer.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.EndAttempt(a, r, time.Now())
}

// CountRequest counts a caller's request in the service's retry budget. The
// budget grows with the number of requests.
func (s *ServerSelector) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).CountRequest(time.Now())
}

// AllowRetry reports whether the service's retry budget allows one more retry.
// If so, it takes the retry from the budget.
func (s *ServerSelector) AllowRetry(service string) bool {
	instances := s.Instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).AllowRetry(s.retries.Ratio, s.retries.Allowance, instances, time.Now())
}

func (s *ServerSelector) budget(service string) *balancer.RetryBudget {
	b, ok := s.budgets[service]
	if !ok {
		b = balancer.NewRetryBudget(s.retries.Window)
		s.budgets[service] = b
	}
	return b
}

// Reports returns this instance's reports, which are sent to the other instances.
func (s *ServerSelector) Reports(now time.Time) balancer.InstanceReports {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ExpireReports(now)
	return balancer.InstanceReports{Servers: s.balancer.Reports(now), Urgencies: s.balancer.UrgencyReports(now), Prefill: s.balancer.PrefillReports(now)}
}

// Summary returns reports about servers. Each report is a sum over this data
// centre's instances. The reports are sent to the other data centres.
func (s *ServerSelector) Summary(now time.Time) []balancer.ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Summary(now)
}

// ReceiveSummary takes in the summary of another data centre.
func (s *ServerSelector) ReceiveSummary(dataCentre string, reports []balancer.ServerReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ReceiveSummary(dataCentre, reports, now)
}

// ReceiveReports takes in the reports of another instance.
func (s *ServerSelector) ReceiveReports(peer, dataCentre string, reports balancer.InstanceReports, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ReceiveReports(peer, dataCentre, reports.Servers, now)
	s.balancer.ReceiveUrgencyReports(peer, reports.Urgencies)
	s.balancer.ReceivePrefillReports(peer, reports.Prefill)
}

// ServiceDemand returns what callers ask of a service with the given servers.
func (s *ServerSelector) ServiceDemand(service string, servers []uint64, now time.Time) balancer.ServiceDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ExpireReports(now)
	return s.balancer.ServiceDemand(service, servers, now)
}

// HealthChanges returns the servers and data centres whose health changed since
// the last call.
func (s *ServerSelector) HealthChanges(now time.Time) []balancer.HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.HealthChanges(now)
}

// RetryBudgetLeft states how many more retries a service's retry budget allows
// this instance. The field Retries holds this number. It does not include first
// attempts.
type RetryBudgetLeft struct {
	Service string
	Retries int
}

// RetryBudgetsLeft returns the remaining retry budget of each service that had
// requests.
func (s *ServerSelector) RetryBudgetsLeft(now time.Time) []RetryBudgetLeft {
	instances := s.Instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := make([]RetryBudgetLeft, 0, len(s.budgets))
	for service, b := range s.budgets {
		remaining = append(remaining, RetryBudgetLeft{service, b.Remaining(s.retries.Ratio, s.retries.Allowance, instances, now)})
	}
	return remaining
}

// RetainServers drops the state of the servers for which keep returns false, and of the
// services that the snapshot lacks.
func (s *ServerSelector) RetainServers(snapshot *catalog.Snapshot, keep func(key uint64) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RetainServers(keep)
	s.balancer.RetainServices(func(name string) bool { _, ok := snapshot.Service(name); return ok })
	for name := range s.budgets {
		if _, ok := snapshot.Service(name); !ok {
			delete(s.budgets, name)
		}
	}
}
