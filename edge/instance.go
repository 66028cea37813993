package edge

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/callerconn"
	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/edge/reachability"
	"bergamotpin.example/bergamotpin/edge/reverseproxy"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/edge/serverstate"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/eventlog"
	"bergamotpin.example/bergamotpin/lease"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/settings"
)

const (
	// memoryFraction is the fraction of the allowed memory that is set as the memory
	// limit of the Go runtime.
	memoryFraction = 0.7
	// heapGrowth is the garbage collector's GOGC value in percent. It is low because
	// memory costs the operators more than processor time.
	heapGrowth = 50
	// cleanUpInterval is the time between two runs of the periodic cleanup.
	cleanUpInterval = 250 * time.Millisecond
)

// Instance is an entry instance. Start creates it, and Run serves.
type Instance struct {
	options  Options
	settings atomic.Pointer[platform.Settings]
	// started holds the settings of the start. needRestart is how many settings have another
	// value now that takes effect at the next start.
	started     platform.Settings
	needRestart atomic.Int64
	log         *eventlog.Log
	catalog     *catalog.Catalog
	selector    *reverseproxy.ServerSelector
	client      *backendclient.Client
	// peerClient holds the connections over which requests are handed on to other instances.
	peerClient     *backendclient.Client
	limits         *serverlimit.Table
	origins        *streamorigin.Ledger
	reach          *reachability.Monitor
	states         *serverstate.Table
	hedging        *hedging.Controller
	metrics        *metrics.Metrics
	gossip         *gossip.Node
	watcher        *catalog.Watcher
	handler        *reverseproxy.Handler
	callerListener net.Listener
	readyListener  net.Listener
	// metricsListener is nil if metrics are not served.
	metricsListener net.Listener
	connections     *callerconn.Tracker
	memory          *memoryaccount.Account
	shortage        shortage
	// requests is the context of the callers' requests. cutRequests ends it.
	requests    context.Context
	cutRequests context.CancelCauseFunc
	stopping    atomic.Bool
	// stores are the clients of the metadata store.
	stores        []*platform.MetadataStore
	storeCalls    storeCalls
	healthChanges healthChangeCounts
	eraChanges    eraChanges
	unreadable    *unreadableEntries
	// duties is nil if the deployment asks for none.
	duties *duties
	// serverOrders is nil if the deployment asks for no orders.
	serverOrders *serverOrders
}

// Options configures an instance.
type Options struct {
	// SettingsPath is the path of the platform's settings file.
	SettingsPath string
	// Product holds the product's own options. Where the zero value is no valid option, the
	// default holds: settings.DefaultEdge returns the defaults.
	Product settings.Edge
	// LogOutput is where log lines are written.
	LogOutput io.Writer
	// DialServer connects to backend servers. If it is nil, TCP is used.
	DialServer engineclient.DialFunc
	// MetricsPort is the port on which metrics are served, or 0 if they are not.
	MetricsPort uint16
}

// Start reads the settings and opens the listeners.
func Start(o Options) (*Instance, error) {
	s, err := platform.LoadSettings(o.SettingsPath)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryFraction * float64(s.MemoryBytes)))
	i := &Instance{options: o, log: eventlog.New(o.LogOutput)}
	i.memory = newMemory(s, o.Product.Callers)
	i.connections = callerconn.NewBounded(i.callerBounds(s))
	i.unreadable = newUnreadableEntries(i.log.StateChanges)
	i.requests, i.cutRequests = context.WithCancelCause(context.Background())
	i.settings.Store(&s)
	i.started = s
	if err := i.assemble(s); err != nil {
		i.log.Close()
		return nil, err
	}
	return i, nil
}

// assemble creates the components of the instance and opens its listeners. The order
// matters: each component must be created after the components that are passed to it.
func (i *Instance) assemble(s platform.Settings) error {
	i.catalog = catalog.New(platform.Decoder{})
	i.limits = serverlimit.New(serverlimit.Options{Name: s.Name, Seed: randomSeed(s.Name), View: func() serverlimit.View { return i.gossip.View() }})
	i.states = serverstate.New(i.log.StateChanges, func() int { return i.selector.Instances() })
	i.selector = reverseproxy.NewServerSelector(balancer.Options{DataCentre: s.DataCentre, Seed: randomSeed(s.Name)}, s.Retries, i.limits, i.states)
	i.client = backendclient.NewClient(i.options.DialServer)
	i.peerClient = backendclient.NewClient(nil)
	crashes := crashguard.New(crashguard.Options{Seed: randomSeed(s.Name), Instances: i.selector.Instances})
	i.hedging = hedging.New(hedgingLimits(i.options.Product.SecondAttempts))
	i.metrics = metrics.New(s.Name, s.DataCentre)
	i.watcher = i.newWatcher(s.StoreAddress)
	var err error
	i.origins = i.newOrigins(s)
	i.watchReachability()
	i.duties = i.newDuties(s)
	i.serverOrders = i.newServerOrders(s)
	i.gossip, err = gossip.Listen(gossip.Options{
		Name: s.Name, DataCentre: s.DataCentre, Cluster: s.StoreAddress.String(), Address: s.PeersAddress, Seeds: s.Seeds, Catalog: i.catalog,
		Reports: i.selector.Reports, ReceiveReports: i.selector.ReceiveReports, OnChange: i.catalogChanged,
		Summary: i.selector.Summary, ReceiveSummary: i.selector.ReceiveSummary,
		CrashReports: crashes.Reports, ReceiveCrashReports: crashes.Receive,
		LimitReports: i.limits.Reports, ReceiveLimitReports: i.limits.Receive,
		ListedVersions: i.origins.Listed, ReceiveListedVersions: i.origins.Learn,
		LeavingServers: i.states.Leaving, ReceiveLeavingServers: i.states.Learn,
		CutOff: i.reach.CutOff, Callers: s.CallersAddress,
		StoreAge: i.storeAge, Usage: i.duties.usageAccounts(), Log: i.log.StateChanges,
	})
	if err != nil {
		return err
	}
	i.selector.SetInstances(i.gossip.CountInstances)
	i.handler = reverseproxy.New(reverseproxy.Options{
		Catalog: i.catalog, Selector: i.selector, Client: i.client, Metrics: i.metrics, Crashes: crashes, Limits: i.limits, Origins: i.origins, States: i.states,
		Hedging:    i.hedging,
		PeerRelay:  reverseproxy.PeerRelay{Reach: i.reach, Relays: i.gossip.Relays, Client: i.peerClient},
		CountUsage: i.duties.usageCounter(),
		Successes:  i.log.Successes, Failures: i.log.Failures,
		Memory: i.memory,
	})
	if i.callerListener, err = listenForCallers(s.CallersAddress); err != nil {
		return errors.Wrap(err, "callers")
	}
	if i.readyListener, err = net.Listen("tcp4", s.ReadyAddress.String()); err != nil {
		return errors.Wrap(err, "ready")
	}
	i.listenForMetrics(s)
	return nil
}

// listenForMetrics opens the metrics port, if one is configured. If the port is already
// in use, because the platform assigned it to something else, the instance runs without
// serving metrics.
func (i *Instance) listenForMetrics(s platform.Settings) {
	if i.options.MetricsPort == 0 {
		return
	}
	address := netip.AddrPortFrom(s.ReadyAddress.Addr(), i.options.MetricsPort)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		i.log.StateChanges.Warn("metrics not served", "address", address, "error", err.Error())
		return
	}
	i.metricsListener = listener
}

// randomSeed derives a seed for random numbers from the instance's name and the
// current time.
func randomSeed(name string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// Run serves until ctx ends or a listener fails, and then shuts down. If a listener failed,
// it returns the listener's error. It reads the settings file again
// when reload receives a value.
func (i *Instance) Run(ctx context.Context, reload <-chan struct{}) error {
	s := i.settings.Load()
	i.log.StateChanges.Info("start", "name", s.Name, "data_centre", s.DataCentre, "callers", s.CallersAddress, "store", s.StoreAddress)
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { i.gossip.Run(background) })
	tasks.Go(func() { i.watcher.Run(background) })
	tasks.Go(func() { i.origins.Run(background) })
	tasks.Go(func() { i.cleanUp(background) })
	dutyTime, handOver := context.WithCancel(background)
	defer handOver()
	tasks.Go(func() { i.duties.run(dutyTime) })
	tasks.Go(func() { i.serverOrders.run(dutyTime) })
	tasks.Go(func() { i.watchSettings(background, reload) })
	tasks.Go(func() { i.metrics.NewCollector(i.readings).Run(background) })

	callerServer := i.newCallerServer()
	readyServer := &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadHeaderTimeout: time.Second}
	metricsServer := &http.Server{Handler: i.metrics.Handler(), ReadHeaderTimeout: time.Second}
	serveErrors := make(chan error, 3)
	tasks.Go(func() { serveErrors <- callerServer.Serve(i.connections.Listen(i.callerListener)) })
	tasks.Go(func() { serveErrors <- readyServer.Serve(i.readyListener) })
	if i.metricsListener != nil {
		tasks.Go(func() { serveErrors <- metricsServer.Serve(i.metricsListener) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
		i.log.StateChanges.Error("a listener failed", "error", err.Error())
	}
	handOver()
	i.shutDown()
	stop()
	_ = callerServer.Close()
	_ = readyServer.Close()
	_ = metricsServer.Close()
	tasks.Wait()
	i.handler.Close()
	i.reach.Close()
	_ = i.metrics.Close()
	i.log.StateChanges.Info("stop")
	i.log.Close()
	return err
}

// newWatcher returns the watcher that keeps the catalog up to date with the metadata
// store at the given address.
func (i *Instance) newWatcher(store netip.AddrPort) *catalog.Watcher {
	source := i.newStore(store)
	return &catalog.Watcher{
		Suspended: lease.SuspendedTime,
		Catalog:   i.catalog, OnChange: i.catalogChanged, OnCall: i.storeCalls.add, Log: i.log.StateChanges,
		ShouldWatch: func() bool { return i.gossip.ShouldWatchStore(time.Now()) },
		Source:      source, SourceMoves: source.Moves,
	}
}

// newStore returns a client of the metadata store at the given address. It is for assemble.
func (i *Instance) newStore(address netip.AddrPort) *platform.MetadataStore {
	store := &platform.MetadataStore{
		BaseURL: storeURL(address), HTTP: objects.NewHTTPClient(dialStore),
		OnUnreadable: func(path, name string, err error) { i.unreadable.add(path, name, 0, err) },
	}
	i.stores = append(i.stores, store)
	return store
}

func storeURL(address netip.AddrPort) string { return "http://" + address.String() }

// storeAge returns how long ago the metadata store last responded to this instance.
func (i *Instance) storeAge(now time.Time) time.Duration { return i.watcher.ResponseAge(now) }

// catalogChanged logs changes of the catalog and has the gossip node send datagrams at
// once, so that other instances learn that there are new records.
func (i *Instance) catalogChanged(source string, changes []catalog.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Type == catalog.ChangedEra {
			i.eraChanged(source, c)
			continue
		}
		if c.Type == catalog.ChangedUnreadable {
			i.unreadable.add(c.Kind.String(), c.Name, c.Revision, c.Err)
			continue
		}
		i.log.StateChanges.Info("catalog changed", "kind", c.Kind.String(), "name", shorten(c.Name), "what", c.Type,
			"revision", c.Revision, "version", c.Version, "source", source)
	}
	i.observeOrigins(i.catalog.Snapshot(), time.Now())
	i.gossip.SendNow()
}

// cleanUp periodically reports health changes and drops the state of removed servers. It
// closes the idle connections to removed servers. It also closes other connections, to
// servers and other instances or from callers, that were idle for too long.
func (i *Instance) cleanUp(ctx context.Context) {
	ticker := time.NewTicker(cleanUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Some records only hold for a time after the store came back from an older copy.
		i.catalogChanged("time", i.catalog.Merge(nil, time.Now()))
		snapshot := i.catalog.Snapshot()
		i.reportHealthChanges(snapshot, time.Now())
		i.reportLimitChanges(snapshot, time.Now())
		i.reportShortage(time.Now())
		i.observeOrigins(snapshot, time.Now())
		i.states.Expire(time.Now())
		i.retainServers(snapshot)
		currentServers := make(map[string]bool, len(snapshot.Servers))
		for _, server := range snapshot.Servers {
			if !server.EntryMissing {
				currentServers[reverseproxy.ServerKey(server)] = true
			}
		}
		i.client.CloseIdle(func(key string) bool { return currentServers[key] })
		i.peerClient.CloseIdle(func(string) bool { return true })
		i.closeIdleCallers(snapshot.Limits.IdleTimeout, time.Now())
	}
}

// retainServers drops the state of the servers and services that the snapshot lacks.
func (i *Instance) retainServers(snapshot *catalog.Snapshot) {
	current := make(map[uint64]bool, len(snapshot.Servers))
	for _, server := range snapshot.Servers {
		current[balancer.ServerKey(server)] = true
	}
	i.limits.Retain(func(key uint64) bool { return current[key] })
	i.selector.RetainServers(snapshot, func(key uint64) bool { return current[key] })
	i.hedging.RetainServices(func(name string) bool { _, ok := snapshot.Service(name); return ok })
}

// serveReady handles the platform's readiness check.
func (i *Instance) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.PathReady:
		w.WriteHeader(http.StatusNotFound)
	case i.stopping.Load() || !i.catalog.Snapshot().Ready:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
