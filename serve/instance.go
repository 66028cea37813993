package serve

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/callerconn"
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
	"bergamotpin.example/bergamotpin/operatorapi"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/proxy"
	"bergamotpin.example/bergamotpin/routing"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/scheduler"
	"bergamotpin.example/bergamotpin/settings"
)

const (
	// headerLimitMargin is added to the header limit to set net/http's own
	// limit. A header slightly above the limit then reaches the proxy, which
	// sends the error response itself.
	headerLimitMargin = 64 << 10
	// headerTimeout is how long a request's header may take to arrive.
	headerTimeout = 10 * time.Second
)

// Options configures an instance.
type Options struct {
	Settings settings.Settings
	Log      *slog.Logger
	// Identity has the certificates that secure the connections between
	// instances. If Identity is nil, the certificates are read from the files
	// that the settings name.
	Identity *peer.Identity
	// OnViolation is called for each scheduling decision that breaks a rule of
	// package schedcore. If it is nil, decisions are not checked.
	OnViolation func(model string, v schedcore.Violation)
	// Transport, if not nil, replaces QUIC for the messages between instances.
	// Tests use this. The instance closes the transport.
	Transport Transport
	// Dial connects to the platform and to backend servers. If it is nil, TCP
	// is used.
	Dial engineclient.DialFunc
}

// Instance is one entry instance: it accepts callers' requests and may schedule
// pools.
type Instance struct {
	opts            Options
	log             *slog.Logger
	metrics         *metrics.Metrics
	objects         *objects.Client // the platform's object API
	store           *config.Store   // the accepted configuration
	configAgent     *config.Agent
	localScheduler  *scheduler.Local
	remoteScheduler *scheduler.Remote
	engineClient    *engineclient.Client
	proxy           *proxy.Proxy
	loadPoller      *loadpoller.Poller
	members         *membership.Group
	configReporter  *config.StatusReporter
	drainReporter   *drain.StatusReporter
	sweeper         *idempotency.Sweeper
	ordersLease     *lease.Lease
	orderController *enginecontrol.Controller
	claims          *idempotency.Claims
	inFlight        *proxy.InFlight

	transport        Transport
	callerListener   net.Listener
	operatorListener net.Listener

	routingIndex atomic.Pointer[routing.Index]
	leaving      atomic.Bool
	openRequests *openRequests
	// callerConnections and operatorConnections hold the connections of callers and of
	// operators.
	callerConnections, operatorConnections *callerconn.Tracker

	killOnce sync.Once
	killed   chan struct{}
}

// Transport is a peer.Transport that must be closed.
type Transport interface {
	peer.Transport
	// Close closes all connections immediately, without telling the peers.
	Close() error
}

// Start opens the listeners that the settings name and creates the instance. It
// serves nothing until Run is called.
func Start(opts Options) (*Instance, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	i := &Instance{opts: opts, log: opts.Log, openRequests: newOpenRequests(), callerConnections: callerconn.New(), operatorConnections: callerconn.New(), killed: make(chan struct{})}
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	i.assemble()
	return i, nil
}

// CallerAddress returns the address at which callers are served.
func (i *Instance) CallerAddress() netip.AddrPort { return boundAddress(i.callerListener) }

// OperatorAddress returns the address at which operators are served.
func (i *Instance) OperatorAddress() netip.AddrPort { return boundAddress(i.operatorListener) }

// PeerAddress returns the address at which other instances reach this instance.
func (i *Instance) PeerAddress() netip.AddrPort { return i.transport.Local() }

func boundAddress(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// ready reports whether this instance accepts new requests. The load balancer
// in front of the instances reads the result through /readyz.
func (i *Instance) ready() bool { return i.store.Ready() && !i.leaving.Load() }

// seedFromName returns a random seed that differs between instances and stays the
// same over restarts.
func seedFromName(name string) uint64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// Run serves until ctx ends, a listener fails or Kill is called. It then leaves
// gracefully, unless Kill was called. If a listener failed, Run returns an
// error.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	i.startBackgroundTasks(background, &tasks)

	callerServer := i.newCallerServer()
	operatorServer := &http.Server{
		Handler:           i.operatorConnections.AnnounceClose(i.operatorHandler()),
		ConnState:         i.operatorConnections.TrackState,
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 2)
	tasks.Go(func() { failed <- callerServer.Serve(i.callerConnections.Listen(i.callerListener)) })
	tasks.Go(func() { failed <- operatorServer.Serve(i.operatorConnections.Listen(i.operatorListener)) })
	i.log.Info("serving", "callers", i.CallerAddress(), "operators", i.OperatorAddress())

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-i.killed:
	}
	i.shutDown(callerServer)
	_ = operatorServer.Close()
	stop()
	tasks.Wait()
	i.close()
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// startBackgroundTasks runs the components other than the HTTP servers until
// ctx ends.
func (i *Instance) startBackgroundTasks(ctx context.Context, tasks *sync.WaitGroup) {
	tasks.Go(func() { i.configAgent.Run(ctx) })
	tasks.Go(func() { i.applyConfig(ctx) })
	tasks.Go(func() { i.loadPoller.Run(ctx) })
	tasks.Go(func() { i.metrics.NewCollector(i.readings).Run(ctx) })
	tasks.Go(func() { i.members.Run(ctx) })
	tasks.Go(func() { i.remoteScheduler.Run(ctx) })
	tasks.Go(func() { i.register(ctx) })
	tasks.Go(func() { i.publishReadiness(ctx) })
	tasks.Go(func() { i.configReporter.Run(ctx) })
	tasks.Go(func() { i.drainReporter.Run(ctx) })
	tasks.Go(func() { i.reportLeftInstances(ctx) })
	tasks.Go(func() { i.sweeper.Run(ctx) })
	tasks.Go(func() { i.ordersLease.Run(ctx, i.shouldSendOrders) })
	tasks.Go(func() { i.orderController.Run(ctx) })
}

// close releases what the components hold after all tasks have ended.
func (i *Instance) close() {
	i.claims.Close()
	i.localScheduler.Close()
	i.engineClient.Close()
	_ = i.transport.Close()
	_ = i.metrics.Close()
	i.log.Info("left")
}

func (i *Instance) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           i.openRequests.countRequests(i.callerConnections.AnnounceClose(i.proxy.Handler())),
		ConnState:         i.callerConnections.TrackState,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    i.opts.Settings.Limits.HeaderBytes + headerLimitMargin,
	}
}

func (i *Instance) operatorHandler() http.Handler {
	return operatorapi.NewHandler(operatorapi.Options{
		Objects:   i.objects,
		Metrics:   i.metrics.Handler(),
		Ready:     i.ready,
		TokenHash: i.opts.Settings.Operators.TokenHash,
		Explain:   i.explain,
	})
}

// applyConfig passes each new configuration to the components that use it until
// ctx ends.
func (i *Instance) applyConfig(ctx context.Context) {
	for {
		changed := i.store.Changed()
		s := i.store.Snapshot()
		i.localScheduler.Configure(s)
		i.routingIndex.Store(routing.NewIndex(s))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pollTargets returns the engines of this data centre that serve a model whose
// pool this instance schedules.
func (i *Instance) pollTargets() []loadpoller.Target {
	dataCentre := i.opts.Settings.Instance.DataCentre
	schedulesModel := func(model string) bool { return i.hasDuty(model, dataCentre, 1) }
	var targets []loadpoller.Target
	for _, b := range i.store.Snapshot().BackendServers {
		if b.Spec.Service || b.Spec.DataCentre != dataCentre || !slices.ContainsFunc(b.Spec.Models, schedulesModel) {
			continue
		}
		targets = append(targets, loadpoller.Target{Server: b.Name, Address: b.Spec.Address, Models: b.Spec.Models})
	}
	return targets
}
