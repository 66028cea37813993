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

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/edge/reverseproxy"
	"bergamotpin.example/bergamotpin/eventlog"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// memoryShare is the part of the allowed memory that the runtime aims to
	// stay under.
	memoryShare = 0.7
	// heapGrowth is by how many percent the heap grows between two collections.
	// Memory costs the users more than processor time.
	heapGrowth = 50
	// housekeeping is the time between two rounds of tidying.
	housekeeping = 250 * time.Millisecond
)

// Instance is one entry instance.
type Instance struct {
	options  Options
	settings atomic.Pointer[platform.Settings]
	log      *eventlog.Log
	table    *catalog.Catalog
	chooser  *reverseproxy.ServerSelector
	client   *backendclient.Client
	metrics  *metrics.Metrics
	beacon   *gossip.Node
	follower *catalog.Watcher
	front    *reverseproxy.Handler
	callers  net.Listener
	ready    net.Listener
	// metricsListener is nil without a port for metrics.
	metricsListener net.Listener
	open            *connections
	stopping        atomic.Bool
	storeCalls      storeCalls
	standings       standings
}

// Options says what an instance is started with.
type Options struct {
	// SettingsPath is that of the platform's settings file.
	SettingsPath string
	// LogOutput takes the lines of the log.
	LogOutput io.Writer
	// MetricsPort is the port on which the instance tells its metrics, or 0.
	MetricsPort uint16
}

// Start reads the settings and listens.
func Start(o Options) (*Instance, error) {
	s, err := platform.LoadSettings(o.SettingsPath)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	i := &Instance{options: o, log: eventlog.New(o.LogOutput), open: newConnections()}
	i.settings.Store(&s)
	if err := i.assemble(s); err != nil {
		i.log.Close()
		return nil, err
	}
	return i, nil
}

// assemble builds the parts, each from those before it.
func (i *Instance) assemble(s platform.Settings) error {
	i.table = catalog.New(platform.Decoder{})
	i.chooser = reverseproxy.NewServerSelector(balancer.Options{DataCentre: s.DataCentre, Seed: seedOf(s.Name)}, s.Retries)
	i.client = backendclient.NewClient(nil)
	i.metrics = metrics.New(s.Name, s.DataCentre)
	i.follower = i.newFollower(s.Store)
	var err error
	i.beacon, err = gossip.Listen(gossip.Options{
		Name: s.Name, DataCentre: s.DataCentre, Cluster: s.Store.String(), Address: s.Peers, Seeds: s.Seeds, Catalog: i.table,
		Reports: i.chooser.Reports, ReceiveReports: i.chooser.ReceiveReports, OnChange: i.changed,
		Summary: i.chooser.Summary, ReceiveSummary: i.chooser.ReceiveSummary,
		StoreAge: i.storeAge, Log: i.log.StateChanges,
	})
	if err != nil {
		return err
	}
	i.chooser.SetInstances(i.beacon.CountInstances)
	i.front = reverseproxy.New(reverseproxy.Options{
		Catalog: i.table, Selector: i.chooser, Client: i.client, Metrics: i.metrics,
		Successes: i.log.Successes, Failures: i.log.Failures, Stopping: i.stopping.Load,
	})
	if i.callers, err = net.Listen("tcp4", s.Callers.String()); err != nil {
		return errors.Wrap(err, "callers")
	}
	if i.ready, err = net.Listen("tcp4", s.Ready.String()); err != nil {
		return errors.Wrap(err, "ready")
	}
	i.listenForMetrics(s)
	return nil
}

// listenForMetrics opens the port for metrics, if there is one. An instance that
// can't have it, since the platform gave it to something else, serves without.
func (i *Instance) listenForMetrics(s platform.Settings) {
	if i.options.MetricsPort == 0 {
		return
	}
	address := netip.AddrPortFrom(s.Ready.Addr(), i.options.MetricsPort)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		i.log.StateChanges.Warn("metrics not served", "address", address, "error", err.Error())
		return
	}
	i.metricsListener = listener
}

func seedOf(name string) uint64 {
	h := fnv.New64a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(name))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// Run serves until ctx ends, and then leaves.
func (i *Instance) Run(ctx context.Context, reload <-chan struct{}) error {
	s := i.settings.Load()
	i.log.StateChanges.Info("start", "name", s.Name, "data_centre", s.DataCentre, "callers", s.Callers, "store", s.Store)
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { i.beacon.Run(background) })
	tasks.Go(func() { i.follower.Run(background) })
	tasks.Go(func() { i.tidy(background) })
	tasks.Go(func() { i.watchSettings(background, reload) })
	tasks.Go(func() { i.metrics.NewCollector(i.readings).Run(background) })

	callers := i.callersServer()
	ready := &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadHeaderTimeout: time.Second}
	metricsServer := &http.Server{Handler: i.metrics.Handler(), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 3)
	tasks.Go(func() { failed <- callers.Serve(i.callers) })
	tasks.Go(func() { failed <- ready.Serve(i.ready) })
	if i.metricsListener != nil {
		tasks.Go(func() { failed <- metricsServer.Serve(i.metricsListener) })
	}
	var err error
	select {
	case <-ctx.Done():
		i.leave(callers)
	case err = <-failed:
	}
	stop()
	_ = callers.Close()
	_ = ready.Close()
	_ = metricsServer.Close()
	tasks.Wait()
	_ = i.metrics.Close()
	i.log.StateChanges.Info("stop")
	i.log.Close()
	return err
}

// newFollower returns what keeps the table up to date with the store.
func (i *Instance) newFollower(store netip.AddrPort) *catalog.Watcher {
	return &catalog.Watcher{
		Catalog: i.table, OnChange: i.changed, OnCall: i.storeCalls.add, Log: i.log.StateChanges,
		ShouldWatch: func() bool { return i.beacon.ShouldWatchStore(time.Now()) },
		Source:      &platform.MetadataStore{BaseURL: "http://" + store.String(), HTTP: objects.NewHTTPClient(dialStore)},
	}
}

// storeAge is how long ago the store last answered.
func (i *Instance) storeAge(now time.Time) time.Duration { return now.Sub(i.follower.LastResponse()) }

// changed logs what the catalog learnt, and tells the others soon.
func (i *Instance) changed(source string, changes []catalog.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		text := ""
		if c.Err != nil {
			text = c.Err.Error()
		}
		i.log.StateChanges.Info("directory changed", "kind", c.Kind.String(), "name", c.Name, "what", c.Type,
			"revision", c.Revision, "version", c.Version, "source", source, "detail", text)
	}
	i.beacon.SendNow()
}

// tidy closes what is no longer needed, at intervals.
func (i *Instance) tidy(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := i.table.Snapshot()
		i.tellStandings(snapshot, time.Now())
		i.chooser.RetainServers(snapshot)
		wanted := make(map[string]bool, len(snapshot.Servers))
		for _, b := range snapshot.Servers {
			if !b.EntryMissing {
				wanted[reverseproxy.ServerName(b)] = true
			}
		}
		i.client.CloseIdle(func(key string) bool { return wanted[key] })
		i.open.closeIdle(snapshot.Limits.IdleTimeout, time.Now())
	}
}

// serveReady answers the platform's question whether to send requests here.
func (i *Instance) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.PathReady:
		w.WriteHeader(http.StatusNotFound)
	case i.stopping.Load() || !i.table.Snapshot().Ready:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
