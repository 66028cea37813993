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
	// answerBytes bounds an answer that is taken whole.
	answerBytes = 32 << 20
)

// assemble builds the parts, each from those before it. Nothing runs yet.
func (i *Instance) assemble() {
	i.assembleBase()
	i.assembleConfig()
	i.assembleDuties()
	i.assembleProxy()
}

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
		Seeds:      seedAddresses(s.Peers.Seeds),
		Seed:       seedOf(s.Instance.Name),
		Log:        i.log,
	})
}

func (i *Instance) assembleConfig() {
	s := i.opts.Settings
	i.store = config.NewStore()
	i.index.Store(routing.NewIndex(i.store.Snapshot()))
	i.agent = config.NewAgent(config.Options{
		Store:       i.store,
		Platform:    i.objects,
		Transport:   i.transport,
		DataCentre:  s.Instance.DataCentre,
		Peers:       i.configPeers,
		ShouldWatch: i.watchesPlatform,
		Seed:        seedOf(s.Instance.Name),
		Log:         i.log,
	})
}

func (i *Instance) assembleProxy() {
	s := i.opts.Settings
	i.engine = engineclient.NewClient(i.opts.Dial)
	i.local = scheduler.NewLocal(scheduler.LocalOptions{
		DataCentre: s.Instance.DataCentre,
		Core:       schedcore.Options{Seed: seedOf(s.Instance.Name), MaxExplainRecords: s.Limits.ExplainRecords},
		Audit:      i.opts.Audit,
	})
	i.remote = scheduler.NewRemote(scheduler.RemoteOptions{
		Transport:  i.transport,
		Membership: i.members,
		Local:      i.local,
		Log:        i.log,
	})
	i.poller = loadpoller.NewPoller(loadpoller.Options{Client: i.engine, Targets: i.pollTargets, Sink: i.local})
	i.proxy = proxy.New(proxy.Options{
		Index:     i.index.Load,
		Scheduler: i.remote,
		Engine:    i.engine,
		Claims:    i.claims,
		InFlight:  i.inFlight,
		Metrics:   i.metrics,
		Limits: proxy.Limits{
			BodyBytes:     s.Limits.BodyBytes,
			AnswerBytes:   answerBytes,
			HeaderBytes:   s.Limits.HeaderBytes,
			BodyTimeout:   s.Limits.BodyTimeout.Std(),
			StallTimeout:  s.Limits.StallTimeout.Std(),
			CallerTimeout: s.Limits.CallerTimeout.Std(),
		},
		Ready:   i.store.Ready,
		Leaving: i.leaving.Load,
	})
}

// assembleDuties builds the parts that work while this instance holds a duty.
func (i *Instance) assembleDuties() {
	s := i.opts.Settings
	local := drain.NewLocalCount(i.store.Snapshot, i.inFlight.Count)
	drain.HandleCounts(i.transport, local)
	i.drains = drain.NewReporter(drain.Options{
		Transport:    i.transport,
		Local:        local,
		Peers:        i.peerAddresses,
		Snapshot:     i.store.Snapshot,
		Status:       i.objects,
		ShouldReport: i.reports,
	})
	i.sweeper = &idempotency.Sweeper{Claims: i.claims, Store: i.objects, ShouldSweep: i.reports}
	i.reporter = config.NewReporter(i.agent.Sync(), i.objects, i.objects, i.reports)
	i.lease = lease.New(lease.Options{
		Store:  i.objects,
		Name:   "orders-" + s.Instance.DataCentre,
		Holder: i.holderName(),
	})
	i.orders = enginecontrol.New(enginecontrol.Options{
		Lease:   i.lease,
		Engine:  &enginecontrol.HTTPClient{Client: objects.NewHTTPClient(i.opts.Dial)},
		Desired: func() []enginecontrol.Spec { return enginecontrol.Specs(i.store.Snapshot(), s.Instance.DataCentre) },
		Log:     i.log,
	})
}

// holderName names this process, and no other one at any time.
func (i *Instance) holderName() string {
	return fmt.Sprintf("%s/%d", i.opts.Settings.Instance.Name, i.members.View().Self.Incarnation)
}

// seedAddresses reads addresses that have passed the settings' check.
func seedAddresses(texts []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range texts {
		address, err := settings.ParseAddress(text)
		if err != nil {
			panic("checked seed does not parse: " + err.Error())
		}
		out = append(out, address)
	}
	return out
}
