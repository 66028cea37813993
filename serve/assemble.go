package serve

import (
	"fmt"
	"net/netip"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/drain"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/enginecontrol"
	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/lease"
	"bergamotpin.example/bergamotpin/loadpoller"
	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/proxy"
	"bergamotpin.example/bergamotpin/routing"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
	"bergamotpin.example/bergamotpin/settings"
)

const (
	// maxResponseBytes limits the size of a response of an engine or service,
	// if the response is read whole before it is passed on.
	maxResponseBytes = 32 << 20
)

// assemble creates the instance's components. Each component uses only
// components that were created before it. None of them runs before Run.
func (i *Instance) assemble() {
	i.assembleBase()
	i.assembleConfig()
	i.assembleDuties()
	i.assembleProxy()
}

// assembleBase creates what the other components use: metrics, the client of the
// object API, idempotency claims and the membership.
func (i *Instance) assembleBase() {
	s := i.opts.Settings
	i.metrics = metrics.New(s.Instance.Name, s.Instance.DataCentre)
	i.objects = objects.New(objects.Options{
		BaseURL:     "http://" + s.Platform.Address,
		CallTimeout: s.Platform.CallTimeout.Std(),
		HTTPClient:  objects.NewHTTPClient(i.opts.Dial),
	})
	i.claims = idempotency.New(idempotency.Options{Store: i.objects, Retention: s.Limits.KeyRetention.Std()})
	i.inFlight = proxy.NewInFlight()
	i.members = membership.New(membership.Options{
		Name:       s.Instance.Name,
		DataCentre: s.Instance.DataCentre,
		Transport:  i.transport,
		Lister:     i,
		Seeds:      parseSeeds(s.Peers.Seeds),
		Seed:       seedFromName(s.Instance.Name),
		Log:        i.log,
	})
}

// assembleConfig creates the configuration store and the agent that keeps it up
// to date.
func (i *Instance) assembleConfig() {
	s := i.opts.Settings
	i.store = config.NewStore()
	i.routingIndex.Store(routing.NewIndex(i.store.Snapshot()))
	i.configAgent = config.NewAgent(config.Options{
		Store:       i.store,
		Platform:    i.objects,
		Transport:   i.transport,
		DataCentre:  s.Instance.DataCentre,
		Peers:       i.configPeers,
		ShouldWatch: i.shouldWatchPlatform,
		Seed:        seedFromName(s.Instance.Name),
		Log:         i.log,
	})
}

// assembleProxy creates the schedulers, the poller of engine load, and the proxy.
func (i *Instance) assembleProxy() {
	s := i.opts.Settings
	i.engineClient = engineclient.NewClient(i.opts.Dial)
	i.localScheduler = scheduler.NewLocal(scheduler.LocalOptions{
		DataCentre:  s.Instance.DataCentre,
		Core:        schedcore.Options{Seed: seedFromName(s.Instance.Name), MaxExplainRecords: s.Limits.ExplainRecords},
		OnViolation: i.opts.OnViolation,
	})
	i.remoteScheduler = scheduler.NewRemote(scheduler.RemoteOptions{
		Transport:  i.transport,
		Membership: i.members,
		Local:      i.localScheduler,
		Log:        i.log,
	})
	i.loadPoller = loadpoller.NewPoller(loadpoller.Options{Client: i.engineClient, Targets: i.pollTargets, Sink: i.localScheduler})
	i.proxy = proxy.New(proxy.Options{
		Index:     i.routingIndex.Load,
		Scheduler: i.remoteScheduler,
		Engine:    i.engineClient,
		Claims:    i.claims,
		InFlight:  i.inFlight,
		Metrics:   i.metrics,
		Limits: proxy.Limits{
			BodyBytes:     s.Limits.BodyBytes,
			ResponseBytes: maxResponseBytes,
			HeaderBytes:   s.Limits.HeaderBytes,
			BodyTimeout:   s.Limits.BodyTimeout.Std(),
			StallTimeout:  s.Limits.StallTimeout.Std(),
			CallerTimeout: s.Limits.CallerTimeout.Std(),
		},
		Ready:   i.store.Ready,
		Leaving: i.leaving.Load,
	})
}

// assembleDuties creates the components that work only while this instance has
// a certain duty.
func (i *Instance) assembleDuties() {
	s := i.opts.Settings
	localCount := drain.NewLocalCount(i.store.Snapshot, i.inFlight.Count)
	drain.HandleCounts(i.transport, localCount)
	i.drainReporter = drain.NewStatusReporter(drain.Options{
		Transport:    i.transport,
		Local:        localCount,
		Peers:        i.peerAddresses,
		Snapshot:     i.store.Snapshot,
		Status:       i.objects,
		ShouldReport: i.shouldReport,
	})
	i.sweeper = &idempotency.Sweeper{Claims: i.claims, Store: i.objects, ShouldSweep: i.shouldReport}
	i.configReporter = config.NewStatusReporter(i.configAgent.Sync(), i.objects, i.objects, i.shouldReport)
	i.ordersLease = lease.New(lease.Options{
		Store:  i.objects,
		Name:   "orders-" + s.Instance.DataCentre,
		Holder: i.leaseHolder(),
	})
	i.orderController = enginecontrol.New(enginecontrol.Options{
		Lease:  i.ordersLease,
		Engine: &enginecontrol.HTTPClient{Client: objects.NewHTTPClient(i.opts.Dial)},
		Specs:  func() []enginecontrol.Spec { return enginecontrol.Specs(i.store.Snapshot(), s.Instance.DataCentre) },
		Log:    i.log,
	})
}

// leaseHolder returns a name that no other process has at any time: the
// instance's name and the incarnation of this process.
func (i *Instance) leaseHolder() string {
	return fmt.Sprintf("%s/%d", i.opts.Settings.Instance.Name, i.members.View().Self.Incarnation)
}

// parseSeeds parses addresses that the check of the settings has accepted.
func parseSeeds(texts []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range texts {
		address, err := settings.ParseAddress(text)
		if err != nil {
			panic("can't parse a seed that the settings' check accepted: " + err.Error())
		}
		out = append(out, address)
	}
	return out
}
