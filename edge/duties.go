package edge

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/duty"
	"bergamotpin.example/bergamotpin/edge/usage"
	"bergamotpin.example/bergamotpin/lease"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// maxCandidateStoreAge is how long after the last response of the metadata store an instance
	// may still try to become the holder of the duties.
	maxCandidateStoreAge = 1300 * time.Millisecond
	// candidateDelay is how long after its start an instance does not compete. By then it knows
	// which few follow the store; before, many of those that start together take themselves for
	// one.
	candidateDelay = time.Second
)

// duties makes the calls to the platform that one instance at a time makes. It is nil if the
// deployment asks for none.
type duties struct {
	settings platform.Duties
	started  time.Time
	api      *platform.DutyAPI
	holder   *duty.Holder
	guard    *duty.Guard
	// accounts and reporter are nil if the deployment asks for no reports of usage.
	accounts *usage.Accounts
	reporter *usage.Reporter
}

// newDuties returns the duties of a deployment, or nil if it asks for none.
func (i *Instance) newDuties(s platform.Settings) *duties {
	if s.Duties == nil {
		return nil
	}
	d := &duties{settings: *s.Duties, started: time.Now()}
	d.api = &platform.DutyAPI{BaseURL: "http://" + s.Duties.Address.String(), HTTP: objects.NewHTTPClient(dialDutyAPI)}
	d.guard = duty.NewGuard(duty.GuardOptions{
		Terms: func() duty.Terms { return d.holder }, Name: s.Name,
		CallsPerSecond: s.Duties.CallsPerSecond, LeaseTime: s.Duties.LeaseTime,
	})
	d.holder = duty.NewHolder(duty.HolderOptions{
		Store:   platform.LeaseStore{Store: i.newStore(s.StoreAddress)},
		Process: s.Name + "." + strconv.FormatInt(time.Now().UnixNano(), 10),
		Machine: s.CallersAddress.Addr().String(), LeaseTime: s.Duties.LeaseTime,
		Candidate: i.isDutyCandidate, Suspended: lease.SuspendedTime, Quiet: d.guard.Quiet,
	})
	if s.Duties.Usage {
		i.addUsage(d, s)
	}
	return d
}

// addUsage adds the reports of usage.
func (i *Instance) addUsage(d *duties, s platform.Settings) {
	now := time.Now()
	clock := usage.NewClock(lease.SuspendedTime, now)
	d.accounts = usage.NewAccounts(usage.AccountsOptions{
		Name: s.Name, Address: s.PeersAddress, Started: now, Clock: clock, Window: s.Duties.ReportWindow,
	})
	d.reporter = usage.NewReporter(usage.ReporterOptions{
		Accounts: d.accounts, Clock: clock, Store: i.newStore(s.StoreAddress), API: d.api, Guard: d.guard, Terms: d.holder,
		Window: s.Duties.ReportWindow, Due: s.Duties.UsageLate, PermittedError: s.Duties.UsageError,
		Live:          func() []string { return i.gossip.View().Live },
		Organisations: func() []string { return i.catalog.Snapshot().OrganisationNames() },
		Log:           i.log.StateChanges,
	})
}

// isDutyCandidate reports whether this instance should try to become the holder of the duties: it
// is one of the few that follow the metadata store, which responds to it.
func (i *Instance) isDutyCandidate() bool {
	now := time.Now()
	if now.Sub(i.duties.started) < candidateDelay {
		return false
	}
	return i.gossip.ShouldWatchStore(now) && i.storeAge(now) < maxCandidateStoreAge
}

// usageAccounts returns the accounts of usage, or nil if there are none.
func (d *duties) usageAccounts() *usage.Accounts {
	if d == nil {
		return nil
	}
	return d.accounts
}

// usageCounter returns the function that counts a request, or nil if requests are not counted.
func (d *duties) usageCounter() func(organisation string) {
	if d == nil || d.accounts == nil {
		return nil
	}
	return d.accounts.Count
}

// run competes for the duties and carries them out until ctx ends. It hands them over then.
func (d *duties) run(ctx context.Context) {
	if d == nil {
		return
	}
	var tasks sync.WaitGroup
	if d.reporter != nil {
		tasks.Go(func() { d.reporter.Run(ctx) })
	}
	d.holder.Run(ctx)
	tasks.Wait()
}

// dialDutyAPI connects to the platform's API. Closing the connection drops what was not yet sent,
// so that a call that was given up does not arrive once a partition ends.
func dialDutyAPI(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialStore(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		err = tcp.SetLinger(0)
	}
	return conn, err
}

// readings returns who holds the duties, and how often that changed.
func (d *duties) readings() []metrics.Reading {
	if d == nil {
		return nil
	}
	_, held := d.holder.Term(time.Now())
	c := d.holder.Counters()
	return append(d.usageReadings(),
		metrics.GaugeReading("duties_held", "", "", boolGauge(held)),
		metrics.CounterReading("duty_lease", "event", "acquired", c.Acquired.Load()),
		metrics.CounterReading("duty_lease", "event", "renewed", c.Renewed.Load()),
		metrics.CounterReading("duty_lease", "event", "unanswered", c.Unanswered.Load()),
		metrics.CounterReading("duty_lease", "event", "ended", c.Ended.Load()),
	)
}

func (d *duties) usageReadings() []metrics.Reading {
	if d.reporter == nil {
		return nil
	}
	c := &d.reporter.Counters
	return []metrics.Reading{
		metrics.CounterReading("usage_reports", "outcome", "sent", c.Sent.Load()),
		metrics.CounterReading("usage_reports", "outcome", "sent_late", c.Late.Load()),
		metrics.CounterReading("usage_reports", "outcome", "failed", c.Failed.Load()),
		metrics.CounterReading("usage_reports", "outcome", "given_up", c.GivenUp.Load()),
		metrics.CounterReading("usage_reports", "outcome", "store_failed", c.StoreFailed.Load()),
	}
}
