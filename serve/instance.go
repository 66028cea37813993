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
	// headerSlack is added to the header limit for net/http's own bound, so
	// that the proxy answers a header just above the limit itself.
	headerSlack = 64 << 10
	// headerTimeout bounds the time in which a header arrives.
	headerTimeout = 10 * time.Second
)

// Options sets up an instance.
type Options struct {
	Settings settings.Settings
	Log      *slog.Logger
	// Identity is used between instances in place of the files that the
	// settings name. Nil reads the files.
	Identity *peer.Identity
	// Audit is called for each decision that breaks a rule of package schedcore.
	// Nil checks nothing.
	Audit func(model string, v schedcore.Violation)
	// Transport carries the messages between instances in place of QUIC, for
	// tests. The instance closes it.
	Transport Transport
	// Dial connects to the platform and to backend servers. Nil means TCP.
	Dial engineclient.DialFunc
}

// Instance is one entry instance.
type Instance struct {
	opts     Options
	log      *slog.Logger
	metrics  *metrics.Metrics
	objects  *objects.Client
	store    *config.Store
	agent    *config.Agent
	local    *scheduler.Local
	remote   *scheduler.Remote
	engine   *engineclient.Client
	proxy    *proxy.Proxy
	poller   *loadpoller.Poller
	members  *membership.Group
	reporter *config.Reporter
	drains   *drain.Reporter
	sweeper  *idempotency.Sweeper
	lease    *lease.Lease
	orders   *enginecontrol.Controller
	claims   *idempotency.Claims
	inFlight *proxy.InFlight

	transport Transport
	callers   net.Listener
	operators net.Listener

	index   atomic.Pointer[routing.Index]
	leaving atomic.Bool
	open    *openRequests

	killOnce sync.Once
	killed   chan struct{}
}

// Transport is a transport between instances that holds resources.
type Transport interface {
	peer.Transport
	// Close drops everything at once, without a word to the peers.
	Close() error
}

// Start listens on the addresses of the settings. The instance serves once Run
// is called.
func Start(opts Options) (*Instance, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	i := &Instance{opts: opts, log: opts.Log, open: newOpenRequests(), killed: make(chan struct{})}
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	i.assemble()
	return i, nil
}

// CallerAddress returns the address on which callers are served.
func (i *Instance) CallerAddress() netip.AddrPort { return boundAddress(i.callers) }

// OperatorAddress returns the address on which operators are served.
func (i *Instance) OperatorAddress() netip.AddrPort { return boundAddress(i.operators) }

// PeerAddress returns the address at which other instances reach this one.
func (i *Instance) PeerAddress() netip.AddrPort { return i.transport.Local() }

func boundAddress(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// ready tells the balancer whether to send requests here.
func (i *Instance) ready() bool { return i.store.Ready() && !i.leaving.Load() }

func seedOf(name string) uint64 {
	h := fnv.New64a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// Run serves until ctx ends and then leaves gracefully. It returns an error if
// a listener failed.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	i.startTasks(background, &tasks)

	callers := i.callersServer()
	operatorsServer := &http.Server{Handler: i.operatorsHandler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	tasks.Go(func() { failed <- callers.Serve(i.callers) })
	tasks.Go(func() { failed <- operatorsServer.Serve(i.operators) })
	i.log.Info("serving", "callers", i.CallerAddress(), "operators", i.OperatorAddress())

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-i.killed:
	}
	i.end(callers)
	_ = operatorsServer.Close()
	stop()
	tasks.Wait()
	i.close()
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// startTasks runs the parts that work beside the listeners until ctx ends.
func (i *Instance) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	tasks.Go(func() { i.agent.Run(ctx) })
	tasks.Go(func() { i.followConfig(ctx) })
	tasks.Go(func() { i.poller.Run(ctx) })
	tasks.Go(func() { i.metrics.NewCollector(i.readings).Run(ctx) })
	tasks.Go(func() { i.members.Run(ctx) })
	tasks.Go(func() { i.remote.Run(ctx) })
	tasks.Go(func() { i.register(ctx) })
	tasks.Go(func() { i.trackReadiness(ctx) })
	tasks.Go(func() { i.reporter.Run(ctx) })
	tasks.Go(func() { i.drains.Run(ctx) })
	tasks.Go(func() { i.followLeavers(ctx) })
	tasks.Go(func() { i.sweeper.Run(ctx) })
	tasks.Go(func() { i.lease.Run(ctx, i.wantsOrders) })
	tasks.Go(func() { i.orders.Run(ctx) })
}

// end leaves gracefully, unless the instance was killed.
func (i *Instance) end(callers *http.Server) {
	select {
	case <-i.killed:
		i.crash(callers)
	default:
		i.leave(callers)
	}
}

// leave refuses new requests and waits for the open ones.
func (i *Instance) leave(callers *http.Server) {
	i.leaving.Store(true)
	i.log.Info("leaving")
	i.announceLeave()
	ctx, cancel := context.WithTimeout(context.Background(), i.opts.Settings.Limits.DrainTimeout.Std())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		i.log.Warn("open requests were cut at the drain timeout", "error", err)
		_ = callers.Close()
	}
	i.open.wait()
	i.proxy.Wait()
}

func (i *Instance) close() {
	i.claims.Close()
	i.local.Close()
	i.engine.Close()
	_ = i.transport.Close()
	_ = i.metrics.Close()
	i.log.Info("left")
}

func (i *Instance) callersServer() *http.Server {
	return &http.Server{
		Handler:           i.open.handler(i.proxy.Handler()),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    i.opts.Settings.Limits.HeaderBytes + headerSlack,
	}
}

func (i *Instance) operatorsHandler() http.Handler {
	return operatorapi.Handler(operatorapi.Options{
		Objects:   i.objects,
		Metrics:   i.metrics.Handler(),
		Ready:     i.ready,
		TokenHash: i.opts.Settings.Operators.TokenHash,
		Explain:   i.explain,
	})
}

// followConfig hands each new snapshot to the parts that use it.
func (i *Instance) followConfig(ctx context.Context) {
	for {
		changed := i.store.Changed()
		s := i.store.Snapshot()
		i.local.Configure(s)
		i.index.Store(routing.NewIndex(s))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pollTargets lists the engines of the own data centre whose pools this
// instance schedules.
func (i *Instance) pollTargets() []loadpoller.Target {
	dataCentre := i.opts.Settings.Instance.DataCentre
	schedules := func(model string) bool { return i.holds(model, dataCentre, 1) }
	var targets []loadpoller.Target
	for _, b := range i.store.Snapshot().BackendServers {
		if b.Spec.Service || b.Spec.DataCentre != dataCentre || !slices.ContainsFunc(b.Spec.Models, schedules) {
			continue
		}
		targets = append(targets, loadpoller.Target{Server: b.Name, Address: b.Spec.Address, Models: b.Spec.Models})
	}
	return targets
}
